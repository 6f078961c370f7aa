/**
 * Parses the command line, runs the command and prints its result. Commands
 * are registered from the table in `commands/index.ts`.
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
  type CommandInput,
  type Host,
  SETTINGS_FILE,
  type ToolCommand,
  type ToolContext,
  type ToolOption,
} from "./tool.ts";

/** Help text that explains the exit codes. */
const EXIT_CODES_HELP = `
Exit codes:
  0  done
  1  rejected or failed
  2  invalid usage, or a file cannot be read or written
  3  the store or the instances cannot be reached
  4  another operator has published in the meantime
  5  problems in the set or the settings
  6  the response was lost; the command may have taken effect`;

/** Help texts of command groups, such as `key` in `key issue`. */
const groupSummaries: Readonly<Record<string, string>> = {
  key: "issue and withdraw keys",
  work: "show, list, cancel and resume work",
};

/** Runs the tool once; `args` are the arguments after the program's name. */
export async function run(
  args: readonly string[],
  host: Host,
): Promise<ExitCode> {
  const exit: Exit = { code: exitCodes.ok };
  const program = buildProgram(host, exit);
  try {
    await program.parseAsync([...args], { from: "user" });
    return exit.code;
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    return error.exitCode === 0 ? exitCodes.ok : exitCodes.usage;
  }
}

/** Exit code of this run; set by the command. */
interface Exit {
  code: ExitCode;
}

function buildProgram(host: Host, exit: Exit): Command {
  const program = new Command("zinniapoint")
    .description("operate a zinniapoint cell")
    .addOption(settingsOption(host))
    .option("--json", "print JSON")
    .addHelpText("after", EXIT_CODES_HELP);
  configureOutput(program, host);
  for (const command of commands) addCommand(program, { command, host, exit });
  return program;
}

function settingsOption(host: Host): Option {
  const defaultFile = host.environment["ZINNIAPOINT_SETTINGS"] ?? SETTINGS_FILE;
  return new Option("--settings <file>", "settings file").default(defaultFile);
}

function configureOutput(command: Command, host: Host): void {
  command.exitOverride().configureOutput({
    writeOut: (text) => host.out(text.trimEnd()),
    writeErr: (text) => host.err(text.trimEnd()),
  });
}

/** What is needed to register and run a command. */
interface Registration {
  readonly command: ToolCommand;
  readonly host: Host;
  readonly exit: Exit;
}

function addCommand(program: Command, registration: Registration): void {
  const { command, host } = registration;
  const words = command.name.split(" ");
  const parent = words.length === 1
    ? program
    : groupCommand(program, words[0]!, host);
  const subcommand = parent.command(words.at(-1)!)
    .description(command.summary)
    .addHelpText("after", `\nExample:\n  ${command.example}`);
  configureOutput(subcommand, host);
  if (command.arguments !== undefined) subcommand.arguments(command.arguments);
  for (const option of command.options ?? []) {
    subcommand.addOption(toCommanderOption(option, host));
  }
  subcommand.option("--json", "print JSON");
  subcommand.action(async (...actionArguments: unknown[]) => {
    const count = subcommand.registeredArguments.length;
    const input: CommandInput = {
      arguments: actionArguments.slice(0, count).flat()
        .filter((value) => value !== undefined).map(String),
      options: subcommand.opts(),
    };
    await execute(registration, {
      input,
      globals: subcommand.optsWithGlobals(),
    });
  });
}

function groupCommand(program: Command, name: string, host: Host): Command {
  const existing = program.commands.find((other) => other.name() === name);
  if (existing !== undefined) return existing;
  const parent = program.command(name).description(groupSummaries[name] ?? "");
  configureOutput(parent, host);
  return parent;
}

function toCommanderOption(option: ToolOption, host: Host): Option {
  const commanderOption = new Option(option.flags, option.help);
  if (option.required === true) commanderOption.makeOptionMandatory();
  const variable = option.environmentVariable;
  if (variable === undefined) return commanderOption;
  const value = host.environment[variable];
  commanderOption.description = `${option.help} (env: ${variable})`;
  return value === undefined
    ? commanderOption
    : commanderOption.default(value, variable);
}

async function execute(
  { command, host, exit }: Registration,
  given: {
    readonly input: CommandInput;
    readonly globals: Record<string, unknown>;
  },
): Promise<void> {
  const settingsFile = String(given.globals["settings"]);
  const tool: ToolContext = { host, settingsFile };
  const result = await command.run(tool, given.input);
  const json = given.globals["json"] === true;
  exit.code = printResult(result, { host, json });
}

function printResult(
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
