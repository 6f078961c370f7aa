/**
 * The command line of the tool, made from the table of commands.
 *
 * @module
 */
import { Command, CommanderError, Option } from "commander";
import type { Result } from "neverthrow";
import { commands } from "./commands/index.ts";
import {
  describeFailure,
  type ExitCode,
  exitCodeOf,
  exitCodes,
  type ToolFailure,
} from "./failures.ts";
import type { Report } from "./report.ts";
import {
  type Host,
  type Input,
  SETTINGS_FILE,
  type Tool,
  type ToolCommand,
  type ToolOption,
} from "./tool.ts";

/** Help on what the exit codes say. */
const EXIT_CODES_HELP = `
Exit codes:
  0  done
  1  refused or failed
  2  wrong use, or a file that cannot be read
  3  the store or the instances cannot be reached
  4  someone else published in the meantime
  5  problems in the set or the settings
  6  the answer was lost; it may have been done`;

const groupSummaries: Readonly<Record<string, string>> = {
  key: "issue and withdraw keys",
  work: "show, list, cancel and resume work",
};

/** Runs one call of the tool; `args` are those after the program's name. */
export async function run(
  args: readonly string[],
  host: Host,
): Promise<ExitCode> {
  const call: Call = { exitCode: exitCodes.ok };
  const program = buildProgram(host, call);
  try {
    await program.parseAsync([...args], { from: "user" });
    return call.exitCode;
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    return error.exitCode === 0 ? exitCodes.ok : exitCodes.usage;
  }
}

interface Call {
  exitCode: ExitCode;
}

function buildProgram(host: Host, call: Call): Command {
  const program = new Command("zinniapoint")
    .description("operates a zinniapoint cell")
    .addOption(settingsOption(host))
    .option("--json", "print JSON")
    .addHelpText("after", EXIT_CODES_HELP);
  configure(program, host);
  for (const command of commands) addCommand(program, { command, host, call });
  return program;
}

function settingsOption(host: Host): Option {
  const fallback = host.environment["ZINNIAPOINT_SETTINGS"] ?? SETTINGS_FILE;
  return new Option("--settings <file>", "settings file").default(fallback);
}

function configure(command: Command, host: Host): void {
  command.exitOverride().configureOutput({
    writeOut: (text) => host.out(text.trimEnd()),
    writeErr: (text) => host.err(text.trimEnd()),
  });
}

interface Registration {
  readonly command: ToolCommand;
  readonly host: Host;
  readonly call: Call;
}

function addCommand(program: Command, registration: Registration): void {
  const { command, host } = registration;
  const words = command.name.split(" ");
  const parent = words.length === 1 ? program : group(program, words[0]!, host);
  const added = parent.command(words.at(-1)!)
    .description(command.summary)
    .addHelpText("after", `\nExample:\n  ${command.example}`);
  configure(added, host);
  if (command.arguments !== undefined) added.arguments(command.arguments);
  for (const option of command.options ?? []) {
    added.addOption(toOption(option, host));
  }
  added.option("--json", "print JSON");
  added.action(async (...given: unknown[]) => {
    const count = added.registeredArguments.length;
    const input: Input = {
      arguments: given.slice(0, count).flat()
        .filter((value) => value !== undefined).map(String),
      options: added.opts(),
    };
    await act(registration, { input, globals: added.optsWithGlobals() });
  });
}

function group(program: Command, name: string, host: Host): Command {
  const known = program.commands.find((other) => other.name() === name);
  if (known !== undefined) return known;
  const added = program.command(name).description(groupSummaries[name] ?? "");
  configure(added, host);
  return added;
}

function toOption(option: ToolOption, host: Host): Option {
  const made = new Option(option.flags, option.help);
  if (option.required === true) made.makeOptionMandatory();
  const variable = option.variable;
  if (variable === undefined) return made;
  const value = host.environment[variable];
  made.description = `${option.help} (env: ${variable})`;
  return value === undefined ? made : made.default(value, variable);
}

async function act(
  { command, host, call }: Registration,
  given: { readonly input: Input; readonly globals: Record<string, unknown> },
): Promise<void> {
  const settingsFile = String(given.globals["settings"]);
  const tool: Tool = { host, settingsFile };
  const result = await command.run(tool, given.input);
  const json = given.globals["json"] === true;
  call.exitCode = print(result, { host, json });
}

function print(
  result: Result<Report, ToolFailure>,
  options: { readonly host: Host; readonly json: boolean },
): ExitCode {
  const { host, json } = options;
  return result.match(
    (report) => {
      if (json) host.out(JSON.stringify(report.json));
      else if (report.bytes !== undefined) host.outBytes(report.bytes);
      else host.out(report.text);
      return exitCodes.ok;
    },
    (failure) => {
      host.err(json ? JSON.stringify(failure) : describeFailure(failure));
      return exitCodeOf(failure);
    },
  );
}
