/**
 * Settings of one process (`zinniapoint.ini`), read by the daemon and by the command-line tool.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import {
  type IniDocument,
  type IniSection,
  objectName,
  readDocument,
} from "./ini/document.ts";
import { suggestion } from "./ini/nearest.ts";
import { type Problem, problem } from "./ini/problem.ts";
import { readSection, type Values } from "./ini/schema.ts";
import type { LogLevel } from "./logger.ts";
import { settingsSchemas } from "./settings_schemas.ts";

/** Addresses of the platform's services. */
export interface PlatformSettings {
  /** `host:port` of each endpoint of the key-value service. */
  readonly store: readonly string[];
  /** `host:port` of the service that lists workers and instances. */
  readonly list: string;
}

/** Identity and key of the operator, and the instances that the tool calls. */
export interface OperatorSettings {
  /** Name in publications; empty if not set. */
  readonly name: string;
  /** Secret that authorizes the tool at an instance. */
  readonly key: string;
  /** `host:port` of instances or of their load balancer. */
  readonly instances: readonly string[];
}

/** Settings of the daemon. */
export interface Settings {
  readonly instance: {
    readonly name: string;
    readonly zone: string;
    /** `host:port` to listen on for client requests. */
    readonly listen: string;
    /** `host:port` to listen on for other instances. */
    readonly peerListen: string;
    /** `IP:port` at which clients reach this instance. */
    readonly callerAddress: string;
    /** `IP:port` at which other instances reach this instance. */
    readonly peerAddress: string;
  };
  readonly platform: PlatformSettings;
  readonly peers: { readonly key: string };
  readonly operator: OperatorSettings;
  readonly log: { readonly level: LogLevel };
  readonly trace: {
    readonly exporter: "none" | "otlp";
    readonly endpoint: string;
  };
  readonly timing: {
    readonly leaseMs: number;
    readonly storeTimeoutMs: number;
    readonly shutdownMs: number;
  };
}

/** Settings of the command-line tool. */
export interface ToolSettings {
  readonly platform: PlatformSettings;
  readonly operator: OperatorSettings;
  readonly timing: Settings["timing"];
}

type SectionName = keyof typeof settingsSchemas;

type Sections = {
  readonly [K in SectionName]: Values<typeof settingsSchemas[K]>;
};

const sectionNames = Object.keys(settingsSchemas) as SectionName[];

const REQUIRED_DAEMON_SECTIONS = sectionNames;

const REQUIRED_TOOL_SECTIONS = [
  "platform",
  "operator",
  "timing",
] as const satisfies SectionName[];

/** Parses the settings of the daemon; on failure, returns every problem found, in the order of lines. */
export function readSettings(
  text: string,
  options: { readonly file: string },
): Result<Settings, readonly Problem[]> {
  return readSections(text, { ...options, required: REQUIRED_DAEMON_SECTIONS })
    .map((sections) => toSettings(sections as Sections));
}

/** Parses the settings of the tool from the same file; sections that only the daemon needs may be absent. */
export function readToolSettings(
  text: string,
  options: { readonly file: string },
): Result<ToolSettings, readonly Problem[]> {
  return readSections(text, { ...options, required: REQUIRED_TOOL_SECTIONS })
    .map((sections) => {
      const { platform, timing } = sections as Sections;
      const operator = withDefaultInstance(sections as Sections);
      return { platform, operator, timing: toTiming(timing) };
    });
}

/** Falls back to the instance of this file if the operator section names no instances. */
function withDefaultInstance(
  { operator, instance }: Pick<Sections, "operator"> & Partial<Sections>,
): OperatorSettings {
  if (operator.instances.length > 0 || instance === undefined) return operator;
  return { ...operator, instances: [instance.advertise] };
}

function toSettings(sections: Sections): Settings {
  const { instance, platform, peers, operator, log, trace } = sections;
  return {
    instance: {
      name: instance.name,
      zone: instance.zone,
      listen: instance.listen,
      peerListen: instance.peer_listen,
      callerAddress: instance.advertise,
      peerAddress: instance.peer_advertise,
    },
    platform,
    peers,
    operator,
    log,
    trace,
    timing: toTiming(sections.timing),
  };
}

function toTiming(timing: Sections["timing"]): Settings["timing"] {
  return {
    leaseMs: timing.lease,
    storeTimeoutMs: timing.store_timeout,
    shutdownMs: timing.shutdown,
  };
}

function readSections(
  text: string,
  options: { readonly file: string; readonly required: readonly SectionName[] },
): Result<Partial<Sections>, readonly Problem[]> {
  const { file, required } = options;
  const document = readDocument(text, file);
  const problems = [...document.problems, ...findSectionProblems(document)];
  const values: Partial<Record<SectionName, unknown>> = {};
  for (const name of sectionNames) {
    const section = document.sections.find((other) => hasName(other, name));
    if (section === undefined && !required.includes(name)) continue;
    const parsed = readSection(
      section ?? emptySection(name),
      settingsSchemas[name],
    );
    values[name] = parsed.values;
    problems.push(...parsed.problems);
  }
  if (problems.length === 0) return ok(values as Partial<Sections>);
  return err(problems.map((found) => ({ ...found, file })).sort(compareLines));
}

function findSectionProblems(document: IniDocument): Problem[] {
  return document.sections.flatMap((section, index) => {
    const { line } = section;
    const object = objectName(section);
    if (!sectionNames.some((name) => hasName(section, name))) {
      const hint = suggestion(object, sectionNames);
      const message = `no such section${hint}`;
      return [problem("unknownSection", { line, object, message })];
    }
    const earlier = document.sections.slice(0, index)
      .find((other) => objectName(other) === object);
    if (earlier === undefined) return [];
    const message = `already defined on line ${earlier.line}`;
    return [problem("duplicateObject", { line, object, message })];
  });
}

function hasName(section: IniSection, name: SectionName): boolean {
  return objectName(section) === name;
}

function emptySection(kind: SectionName): IniSection {
  return { kind, name: "", line: 0, fields: [] };
}

function compareLines(a: Problem, b: Problem): number {
  return a.line - b.line;
}
