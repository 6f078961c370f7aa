/**
 * Parsers for the values of INI fields: numbers, durations, sizes, addresses and
 * names, each with its unit and range.
 *
 * @module
 */
import { isIPv4, isIPv6 } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { suggestion } from "./nearest.ts";

/** The text of a field is not a valid value. */
export interface ValueFailure {
  readonly type: "badValue";
  /** Says what is expected; quotes the text unless it is a secret. */
  readonly message: string;
}

/** Name and parser of one type of value. */
export interface Unit<T> {
  /** Shown in docs and messages, such as `duration (30s, 6h)`. */
  readonly name: string;
  parse(text: string): Result<T, ValueFailure>;
}

const MILLIS_PER_CORE = 1000;
const MIB_PER_UNIT = { MiB: 1, GiB: 1024, TiB: 1024 * 1024 } as const;
const MS_PER_UNIT = {
  ms: 1,
  s: 1000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
} as const;

const MAX_PORT = 65_535;
const HOST_PATTERN = /^([^\s:]+|\[[0-9a-fA-F:.]+\])$/;
const MIN_SECRET_CHARS = 16;

/** Pattern of object names. */
export const NAME_PATTERN = /^[a-z0-9-]+$/;

/** Any text. */
export const text: Unit<string> = {
  name: "text",
  parse: ok,
};

/** Text that is not empty. */
export const nonEmptyText: Unit<string> = {
  name: "text",
  parse: (value) => value === "" ? fail("must not be empty") : ok(value),
};

/** Lower-case hex digits of exactly `bytes` bytes. */
export function hex(bytes: number): Unit<string> {
  const digits = 2 * bytes;
  return {
    name: `${digits} hex digits`,
    parse: (value) =>
      value.length === digits && /^[0-9a-f]+$/.test(value)
        ? ok(value)
        : fail(`must be ${digits} lower-case hex digits`),
  };
}

/** The name of an object. */
export const objectReference: Unit<string> = {
  name: "name",
  parse: parseName,
};

/** Comma-separated names of objects, each at most once; may be empty. */
export const objectReferences: Unit<readonly string[]> = {
  name: "names (a, b)",
  parse: (value) => parseList(value, parseName),
};

/** `true` or `false`. */
export const boolean: Unit<boolean> = {
  name: "true or false",
  parse(value) {
    if (value === "true") return ok(true);
    if (value === "false") return ok(false);
    return fail(`must be true or false, not \`${value}\``);
  },
};

/** Number of CPU cores, parsed to thousandths of a core: `500m` is half a core, `2` is two. */
export const cpu: Unit<number> = {
  name: "cores (500m, 2)",
  parse(value) {
    const match = /^(\d+(?:\.\d+)?)(m?)$/.exec(value);
    if (match === null) return fail(`\`${value}\` is not a CPU amount (500m)`);
    const amount = Number(match[1]);
    const millis = match[2] === "m" ? amount : amount * MILLIS_PER_CORE;
    return Number.isInteger(millis)
      ? ok(millis)
      : fail("must be a multiple of 1m, a thousandth of a core");
  },
};

/** Amount of memory, parsed to MiB. */
export const memory: Unit<number> = {
  name: "memory (512MiB, 2GiB)",
  parse(value) {
    const match = /^(\d+)(MiB|GiB|TiB)$/.exec(value);
    if (match === null) return fail(`\`${value}\` is not a size (512MiB)`);
    return ok(Number(match[1]) * MIB_PER_UNIT[match[2] as "MiB"]);
  },
};

/** A duration, parsed to milliseconds. */
export const duration: Unit<number> = {
  name: "duration (500ms, 30s, 5m, 6h, 2d)",
  parse(value) {
    const match = /^(\d+)(ms|s|m|h|d)$/.exec(value);
    if (match === null) return fail(`\`${value}\` is not a duration (30s, 6h)`);
    return ok(Number(match[1]) * MS_PER_UNIT[match[2] as "ms"]);
  },
};

/** An integer of at least `min`. */
export function integer(min: number): Unit<number> {
  return {
    name: `whole number, ${min} or more`,
    parse(value) {
      const number = Number(value);
      return /^\d+$/.test(value) && Number.isSafeInteger(number) &&
          number >= min
        ? ok(number)
        : fail(`must be a whole number, ${min} or more, not \`${value}\``);
    },
  };
}

/** A number greater than zero. */
export const positive: Unit<number> = {
  name: "number above 0",
  parse(value) {
    const number = Number(value);
    return value !== "" && Number.isFinite(number) && number > 0
      ? ok(number)
      : fail(`must be a number above 0, not \`${value}\``);
  },
};

/** A duration of at least one millisecond. */
export const positiveDuration: Unit<number> = {
  name: duration.name,
  parse: (value) =>
    duration.parse(value).andThen((milliseconds) =>
      milliseconds > 0 ? ok(milliseconds) : fail("must be greater than 0")
    ),
};

/** One of the given words. */
export function oneOf<const W extends readonly string[]>(
  words: W,
): Unit<W[number]> {
  return {
    name: words.join(" or "),
    parse(value) {
      if (words.includes(value)) return ok(value);
      const hint = suggestion(value, words);
      return fail(`must be ${words.join(" or ")}, not \`${value}\`${hint}`);
    },
  };
}

/** `IP:port` that others can connect to: no wildcard address, no port 0. */
export const reachableAddress: Unit<string> = {
  name: "IP:port",
  parse(value) {
    const { host, port } = splitAddress(value);
    if (!isIp(host)) return fail(`\`${value}\` is not of the form IP:port`);
    if (/^(0\.0\.0\.0|\[[:0]+\])$/.test(host) || port === "0") {
      return fail(`\`${value}\` is not an address that others can connect to`);
    }
    return parseAddress(value);
  },
};

/** A secret. Messages never contain its text. */
export const secret: Unit<string> = {
  name: `text of ${MIN_SECRET_CHARS} letters or more`,
  parse: (value) =>
    value.length >= MIN_SECRET_CHARS
      ? ok(value)
      : fail(`must have ${MIN_SECRET_CHARS} letters or more`),
};

/** `host:port`. */
export const address: Unit<string> = {
  name: "host:port",
  parse: parseAddress,
};

/** Comma-separated `host:port` addresses, at least one. */
export const nonEmptyAddresses: Unit<readonly string[]> = {
  name: "host:port, ...",
  parse: (value) =>
    addresses.parse(value).andThen((items) =>
      items.length > 0 ? ok(items) : fail("must name at least one address")
    ),
};

/** Comma-separated `host:port` addresses; may be empty. */
export const addresses: Unit<readonly string[]> = {
  name: "host:port, ...",
  parse: (value) => parseList(value, parseAddress),
};

/** An `http` or `https` URL. */
export const httpUrl: Unit<string> = {
  name: "URL",
  parse: (value) =>
    URL.canParse(value) && /^https?:$/.test(new URL(value).protocol)
      ? ok(value)
      : fail(`\`${value}\` is not an http or https URL`),
};

function fail(message: string): Result<never, ValueFailure> {
  return err({ type: "badValue", message });
}

function parseName(value: string): Result<string, ValueFailure> {
  return NAME_PATTERN.test(value)
    ? ok(value)
    : fail(`\`${value}\` must consist of a-z, 0-9 and -`);
}

function parseList(
  value: string,
  parseItem: (item: string) => Result<string, ValueFailure>,
): Result<readonly string[], ValueFailure> {
  const items = value.split(",").map((item) => item.trim());
  const present = items.filter((item) => item !== "");
  for (const [index, item] of present.entries()) {
    const parsed = parseItem(item);
    if (parsed.isErr()) return err(parsed.error);
    if (present.indexOf(item) !== index) return fail(`\`${item}\` is repeated`);
  }
  return ok(present);
}

function parseAddress(value: string): Result<string, ValueFailure> {
  const { host, port } = splitAddress(value);
  const number = Number(port);
  const valid = HOST_PATTERN.test(host) && /^\d+$/.test(port) &&
    number <= MAX_PORT;
  return valid ? ok(value) : fail(`\`${value}\` is not of the form host:port`);
}

function splitAddress(value: string): { host: string; port: string } {
  const colon = value.lastIndexOf(":");
  if (colon < 0) return { host: "", port: "" };
  return { host: value.slice(0, colon), port: value.slice(colon + 1) };
}

function isIp(host: string): boolean {
  const bracketed = /^\[(.*)\]$/.exec(host)?.[1];
  return bracketed === undefined ? isIPv4(host) : isIPv6(bracketed);
}
