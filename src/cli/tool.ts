/**
 * What commands work with.
 *
 * @module
 */
import { err, type Result, type ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import { readToolSettings, type ToolSettings } from "../config.ts";
import type { Store } from "../ports/store.ts";
import { problemsFailure, type ToolFailure } from "./failures.ts";
import type { Report } from "./report.ts";

/** Where settings are read from unless something else is said. */
export const SETTINGS_FILE = "zinniapoint.ini";

/** A call of an instance. */
export interface InstanceCall {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Bearer of the call. */
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  /** Whether doing it twice does no harm. */
  readonly idempotent?: boolean;
  readonly timeoutMs?: number;
}

/** An instance's whole answer. */
export interface InstanceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Access to the instances by HTTP. */
export interface Instances {
  send(call: InstanceCall): ResultAsync<InstanceAnswer, ToolFailure>;
}

/** The surroundings of the tool. */
export interface Host {
  readonly clock: Clock;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Reads a file; `-` is standard input. */
  readFile(path: string): ResultAsync<Uint8Array, ToolFailure>;
  /** Gives each line of a file to `take`, without keeping the file; `-` is standard input. */
  readLines(
    path: string,
    take: (line: string) => void,
  ): ResultAsync<void, ToolFailure>;
  writeFile(path: string, text: string): ResultAsync<void, ToolFailure>;
  /** Whether there is such a file. */
  exists(path: string): boolean;
  openStore(settings: ToolSettings): Store;
  openInstances(settings: ToolSettings): Instances;
  /** Writes a line to standard output. */
  out(text: string): void;
  /** Writes bytes to standard output. */
  outBytes(bytes: Uint8Array): void;
  /** Writes a line to standard error. */
  err(text: string): void;
}

/** A host with the settings of the call. */
export interface Tool {
  readonly host: Host;
  readonly settingsFile: string;
}

/** Arguments and options of one call of a command. */
export interface Input {
  readonly arguments: readonly string[];
  readonly options: Readonly<
    Record<string, string | boolean | readonly string[] | undefined>
  >;
}

/** An option of a command. */
export interface ToolOption {
  /** As commander takes it: `--team <name>`. */
  readonly flags: string;
  readonly help: string;
  /** Environment variable that the option falls back to. */
  readonly variable?: string;
  readonly required?: boolean;
}

/** A command of the tool. */
export interface ToolCommand {
  /** One word, or a group and a word. */
  readonly name: string;
  /** As commander takes them: `<file>`. */
  readonly arguments?: string;
  readonly summary: string;
  readonly example: string;
  readonly options?: readonly ToolOption[];
  run(tool: Tool, input: Input): ResultAsync<Report, ToolFailure>;
}

/** The value of an option that takes one; `undefined` if it is not given. */
export function option(input: Input, name: string): string | undefined {
  const value = input.options[name];
  return typeof value === "string" ? value : undefined;
}

/** The values of an option that takes several. */
export function optionList(input: Input, name: string): readonly string[] {
  const value = input.options[name];
  return Array.isArray(value) ? value : [];
}

/** Whether an option without a value is given. */
export function flag(input: Input, name: string): boolean {
  return input.options[name] === true;
}

/** A required argument; commander has seen to it that it is there. */
export function argument(input: Input, index: number): string {
  return input.arguments[index] ?? "";
}

/** Reads a text file. */
export function readText(
  tool: Tool,
  path: string,
): ResultAsync<string, ToolFailure> {
  return tool.host.readFile(path).map((bytes) =>
    new TextDecoder().decode(bytes)
  );
}

/** Reads the settings of the call. */
export function settingsOf(
  tool: Tool,
): ResultAsync<ToolSettings, ToolFailure> {
  const file = tool.settingsFile;
  return readText(tool, file).andThen((
    text,
  ): Result<ToolSettings, ToolFailure> =>
    readToolSettings(text, { file }).orElse((problems) =>
      err(problemsFailure(problems))
    )
  );
}

/** Opens the store that the settings name. */
export function storeOf(
  tool: Tool,
): ResultAsync<
  { readonly store: Store; readonly settings: ToolSettings },
  ToolFailure
> {
  return settingsOf(tool).map((settings) => ({
    store: tool.host.openStore(settings),
    settings,
  }));
}
