/**
 * Settings of one process, read from an INI file by the daemon and the tool.
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

/** Where the platform's services are. */
export interface PlatformSettings {
  /** `host:port` of each endpoint of the key-value service. */
  readonly store: readonly string[];
  /** `host:port` of the list. */
  readonly list: string;
}

/** Who operates. */
export interface OperatorSettings {
  /** Empty if not set. */
  readonly name: string;
  readonly key: string;
  /** `host:port` of instances or of their balancer. */
  readonly instances: readonly string[];
}

/** Settings of the daemon. */
export interface Settings {
  readonly instance: {
    readonly name: string;
    readonly zone: string;
    /** `host:port` to listen on for callers. */
    readonly listen: string;
    /** `host:port` to listen on for peers. */
    readonly peerListen: string;
    /** `IP:port` on which callers connect. */
    readonly callerAddress: string;
    /** `IP:port` on which peers connect. */
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

const DAEMON_SECTIONS = sectionNames;

const TOOL_SECTIONS = [
  "platform",
  "operator",
  "timing",
] as const satisfies SectionName[];

/** Reads the settings of the daemon; gives every problem found. */
export function readSettings(
  text: string,
  options: { readonly file: string },
): Result<Settings, readonly Problem[]> {
  return readSections(text, { ...options, needed: DAEMON_SECTIONS })
    .map((sections) => asSettings(sections as Sections));
}

/** Reads the settings of the tool from the same file; sections of the daemon may be absent. */
export function readToolSettings(
  text: string,
  options: { readonly file: string },
): Result<ToolSettings, readonly Problem[]> {
  return readSections(text, { ...options, needed: TOOL_SECTIONS })
    .map((sections) => {
      const { platform, timing } = sections as Sections;
      const operator = withOwnInstance(sections as Sections);
      return { platform, operator, timing: asTiming(timing) };
    });
}

/** Where no instances are set, the tool asks the one of the file. */
function withOwnInstance(
  { operator, instance }: Pick<Sections, "operator"> & Partial<Sections>,
): OperatorSettings {
  if (operator.instances.length > 0 || instance === undefined) return operator;
  return { ...operator, instances: [instance.advertise] };
}

function asSettings(sections: Sections): Settings {
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
    timing: asTiming(sections.timing),
  };
}

function asTiming(timing: Sections["timing"]): Settings["timing"] {
  return {
    leaseMs: timing.lease,
    storeTimeoutMs: timing.store_timeout,
    shutdownMs: timing.shutdown,
  };
}

function readSections(
  text: string,
  options: { readonly file: string; readonly needed: readonly SectionName[] },
): Result<Partial<Sections>, readonly Problem[]> {
  const { file, needed } = options;
  const document = readDocument(text, file);
  const problems = [...document.problems, ...sectionProblems(document)];
  const values: Partial<Record<SectionName, unknown>> = {};
  for (const name of sectionNames) {
    const written = document.sections.find((other) => isSection(other, name));
    if (written === undefined && !needed.includes(name)) continue;
    const reading = readSection(
      written ?? absentSection(name),
      settingsSchemas[name],
    );
    values[name] = reading.values;
    problems.push(...reading.problems);
  }
  if (problems.length === 0) return ok(values as Partial<Sections>);
  return err(problems.map((found) => ({ ...found, file })).sort(byLine));
}

function sectionProblems(document: IniDocument): Problem[] {
  return document.sections.flatMap((section, index) => {
    const { line } = section;
    const object = objectName(section);
    if (!sectionNames.some((name) => isSection(section, name))) {
      const hint = suggestion(object, sectionNames);
      const message = `no such section${hint}`;
      return [problem("unknownSection", { line, object, message })];
    }
    const earlier = document.sections.slice(0, index)
      .find((other) => objectName(other) === object);
    if (earlier === undefined) return [];
    const message = `already stands on line ${earlier.line}`;
    return [problem("duplicateObject", { line, object, message })];
  });
}

function isSection(section: IniSection, name: SectionName): boolean {
  return objectName(section) === name;
}

function absentSection(kind: SectionName): IniSection {
  return { kind, name: "", line: 0, fields: [] };
}

function byLine(a: Problem, b: Problem): number {
  return a.line - b.line;
}
