/**
 * How values are written in INI files.
 *
 * @module
 */
import { isIPv4, isIPv6 } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { suggestion } from "./nearest.ts";

/** A value that cannot be read. */
export interface UnitFailure {
  readonly type: "badValue";
  readonly message: string;
}

/** A way of writing values of one type. */
export interface Unit<T> {
  /** For docs and messages, such as `duration (30s, 6h)`. */
  readonly name: string;
  parse(text: string): Result<T, UnitFailure>;
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
const HOST = /^([^\s:]+|\[[0-9a-fA-F:.]+\])$/;
const SECRET_LETTERS = 16;

/** Names of objects. */
export const NAME = /^[a-z0-9-]+$/;

/** Any text. */
export const text: Unit<string> = {
  name: "text",
  parse: ok,
};

/** Text that is not empty. */
export const nonEmptyText: Unit<string> = {
  name: "text",
  parse: (value) => value === "" ? bad("must not be empty") : ok(value),
};

/** Lower-case hex of so many bytes. */
export function hex(bytes: number): Unit<string> {
  const digits = 2 * bytes;
  return {
    name: `${digits} hex digits`,
    parse: (value) =>
      value.length === digits && /^[0-9a-f]+$/.test(value)
        ? ok(value)
        : bad(`must be ${digits} lower-case hex digits`),
  };
}

/** The name of an object. */
export const objectReference: Unit<string> = {
  name: "name",
  parse: parseName,
};

/** Names of objects, parted by commas. */
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
    return bad(`must be true or false, not \`${value}\``);
  },
};

/** CPU time: `500m` is half a core, `2` is two cores. */
export const cpu: Unit<number> = {
  name: "cores (500m, 2)",
  parse(value) {
    const match = /^(\d+(?:\.\d+)?)(m?)$/.exec(value);
    if (match === null) return bad(`\`${value}\` is not like 500m or 2`);
    const amount = Number(match[1]);
    const millis = match[2] === "m" ? amount : amount * MILLIS_PER_CORE;
    return Number.isInteger(millis)
      ? ok(millis)
      : bad("must be whole thousandths of a core");
  },
};

/** Memory in binary units. */
export const memory: Unit<number> = {
  name: "memory (512MiB, 2GiB)",
  parse(value) {
    const match = /^(\d+)(MiB|GiB|TiB)$/.exec(value);
    if (match === null) return bad(`\`${value}\` is not like 512MiB or 2GiB`);
    return ok(Number(match[1]) * MIB_PER_UNIT[match[2] as "MiB"]);
  },
};

/** A span of time in milliseconds. */
export const duration: Unit<number> = {
  name: "duration (500ms, 30s, 5m, 6h, 2d)",
  parse(value) {
    const match = /^(\d+)(ms|s|m|h|d)$/.exec(value);
    if (match === null) return bad(`\`${value}\` is not like 30s or 6h`);
    return ok(Number(match[1]) * MS_PER_UNIT[match[2] as "ms"]);
  },
};

/** A whole number of at least `least`. */
export function integer(least: number): Unit<number> {
  return {
    name: `whole number, ${least} or more`,
    parse(value) {
      const number = Number(value);
      return /^\d+$/.test(value) && Number.isSafeInteger(number) &&
          number >= least
        ? ok(number)
        : bad(`must be a whole number of ${least} or more, not \`${value}\``);
    },
  };
}

/** A number above zero. */
export const positive: Unit<number> = {
  name: "number above 0",
  parse(value) {
    const number = Number(value);
    return value !== "" && Number.isFinite(number) && number > 0
      ? ok(number)
      : bad(`must be a number above 0, not \`${value}\``);
  },
};

/** A duration of at least one millisecond. */
export const positiveDuration: Unit<number> = {
  name: duration.name,
  parse: (value) =>
    duration.parse(value).andThen((milliseconds) =>
      milliseconds > 0 ? ok(milliseconds) : bad("must be longer than 0")
    ),
};

/** One of a few words. */
export function oneOf<const W extends readonly string[]>(
  words: W,
): Unit<W[number]> {
  return {
    name: words.join(" or "),
    parse(value) {
      if (words.includes(value)) return ok(value);
      const hint = suggestion(value, words);
      return bad(`must be ${words.join(" or ")}, not \`${value}\`${hint}`);
    },
  };
}

/** `IP:port` on which others connect. */
export const reachableAddress: Unit<string> = {
  name: "IP:port",
  parse(value) {
    const { host, port } = splitAddress(value);
    if (!isIp(host)) return bad(`\`${value}\` is not an IP number and a port`);
    if (/^(0\.0\.0\.0|\[[:0]+\])$/.test(host) || port === "0") {
      return bad(`\`${value}\` is nothing to connect to`);
    }
    return parseAddress(value);
  },
};

/** Text that is kept out of messages. */
export const secret: Unit<string> = {
  name: `text of ${SECRET_LETTERS} letters or more`,
  parse: (value) =>
    value.length >= SECRET_LETTERS
      ? ok(value)
      : bad(`must have ${SECRET_LETTERS} letters or more`),
};

/** `host:port`. */
export const address: Unit<string> = {
  name: "host:port",
  parse: parseAddress,
};

/** One or more `host:port`, parted by commas. */
export const someAddresses: Unit<readonly string[]> = {
  name: "host:port, ...",
  parse: (value) =>
    addresses.parse(value).andThen((items) =>
      items.length > 0 ? ok(items) : bad("must name at least one address")
    ),
};

/** Any number of `host:port`, parted by commas. */
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
      : bad(`\`${value}\` is not an http or https URL`),
};

function bad(message: string): Result<never, UnitFailure> {
  return err({ type: "badValue", message });
}

function parseName(value: string): Result<string, UnitFailure> {
  return NAME.test(value)
    ? ok(value)
    : bad(`\`${value}\` must be of a-z, 0-9 and -`);
}

function parseList(
  value: string,
  parseItem: (item: string) => Result<string, UnitFailure>,
): Result<readonly string[], UnitFailure> {
  const items = value.split(",").map((item) => item.trim());
  const present = items.filter((item) => item !== "");
  for (const [index, item] of present.entries()) {
    const parsed = parseItem(item);
    if (parsed.isErr()) return err(parsed.error);
    if (present.indexOf(item) !== index) return bad(`\`${item}\` stands twice`);
  }
  return ok(present);
}

function parseAddress(value: string): Result<string, UnitFailure> {
  const { host, port } = splitAddress(value);
  const number = Number(port);
  const valid = HOST.test(host) && /^\d+$/.test(port) && number <= MAX_PORT;
  return valid ? ok(value) : bad(`\`${value}\` is not like host:port`);
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
