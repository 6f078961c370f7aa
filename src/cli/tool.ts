/**
 * Interfaces that the commands of the command-line tool implement and use, and
 * helpers to read their input.
 *
 * @module
 */
import { err, type Result, type ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import { readToolSettings, type ToolSettings } from "../config.ts";
import type { Store } from "../ports/store.ts";
import { problemsFailure, type ToolFailure } from "./failures.ts";
import type { Report } from "./report.ts";

/** Path of the default settings file. */
export const SETTINGS_FILE = "zinniapoint.ini";

/** A request to an instance. */
export interface InstanceRequest {
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  /** Bearer token. */
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  /** Whether the request may safely take effect twice. */
  readonly idempotent?: boolean;
  /** Timeout for the response; a default applies if absent. */
  readonly timeoutMs?: number;
}

/** An instance's complete response. */
export interface InstanceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Sends requests to instances over HTTP. */
export interface InstanceClient {
  /** Tries the instances in order and returns the first response. */
  send(request: InstanceRequest): ResultAsync<InstanceResponse, ToolFailure>;
}

/** Clock, environment variables, files, connections and output; tests replace it. */
export interface Host {
  readonly clock: Clock;
  /** Environment variables of the process, by name. */
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Reads a file; `-` is standard input. */
  readFile(path: string): ResultAsync<Uint8Array, ToolFailure>;
  /** Streams a file line by line to `onLine`; `-` is standard input. */
  readLines(
    path: string,
    onLine: (line: string) => void,
  ): ResultAsync<void, ToolFailure>;
  /** Writes a file, replacing an existing one. */
  writeFile(path: string, text: string): ResultAsync<void, ToolFailure>;
  /** Whether the file exists. */
  exists(path: string): boolean;
  openStore(settings: ToolSettings): Store;
  openInstanceClient(settings: ToolSettings): InstanceClient;
  /** Writes a line to standard output. */
  out(text: string): void;
  /** Writes bytes to standard output. */
  outBytes(bytes: Uint8Array): void;
  /** Writes a line to standard error. */
  err(text: string): void;
}

/** The host and the settings file of this run. */
export interface ToolContext {
  readonly host: Host;
  /** Path of the settings file. */
  readonly settingsFile: string;
}

/** Parsed arguments and options of a command. */
export interface CommandInput {
  readonly arguments: readonly string[];
  readonly options: Readonly<
    Record<string, string | boolean | readonly string[] | undefined>
  >;
}

/** An option of a command. */
export interface ToolOption {
  /** In the syntax of commander: `--team <name>`. */
  readonly flags: string;
  readonly help: string;
  /** Environment variable that gives the value if the option is absent. */
  readonly environmentVariable?: string;
  readonly required?: boolean;
}

/** A command of the tool. */
export interface ToolCommand {
  /** One word, or a group and a word: `status`, `key issue`. */
  readonly name: string;
  /** In the syntax of commander: `<file>`. */
  readonly arguments?: string;
  /** One line that describes the command in the help. */
  readonly summary: string;
  readonly example: string;
  readonly options?: readonly ToolOption[];
  run(tool: ToolContext, input: CommandInput): ResultAsync<Report, ToolFailure>;
}

/** The value of a single-valued option; `undefined` if it is absent. */
export function option(input: CommandInput, name: string): string | undefined {
  const value = input.options[name];
  return typeof value === "string" ? value : undefined;
}

/** The values of a multi-valued option; empty if it is absent. */
export function optionList(
  input: CommandInput,
  name: string,
): readonly string[] {
  const value = input.options[name];
  return Array.isArray(value) ? value : [];
}

/** Whether a boolean option is present. */
export function flag(input: CommandInput, name: string): boolean {
  return input.options[name] === true;
}

/** A required argument; commander has already rejected a call without it. */
export function argument(input: CommandInput, index: number): string {
  return input.arguments[index] ?? "";
}

/** Reads a text file. */
export function readText(
  tool: ToolContext,
  path: string,
): ResultAsync<string, ToolFailure> {
  return tool.host.readFile(path).map((bytes) =>
    new TextDecoder().decode(bytes)
  );
}

/** Reads and checks the settings file. */
export function readSettings(
  tool: ToolContext,
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

/** Reads the settings and opens the store that they name. */
export function openStore(
  tool: ToolContext,
): ResultAsync<
  { readonly store: Store; readonly settings: ToolSettings },
  ToolFailure
> {
  return readSettings(tool).map((settings) => ({
    store: tool.host.openStore(settings),
    settings,
  }));
}
