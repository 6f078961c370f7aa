/**
 * Messages of etcd's v3 JSON gateway.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as t from "io-ts";
import type { Change, Condition, Entry, Write } from "../ports/store.ts";
import { Int64 } from "./decoding.ts";

const Header = t.type({ revision: Int64 });

const KeyValue = t.intersection([
  t.type({ key: t.string, mod_revision: Int64 }),
  t.partial({ value: t.string }),
]);
type KeyValue = t.TypeOf<typeof KeyValue>;

/** Answer of /v3/kv/range. */
export const RangeAnswer = t.intersection([
  t.type({ header: Header }),
  t.partial({ kvs: t.array(KeyValue), more: t.boolean }),
]);

/** Answer of /v3/kv/txn. */
export const TxnAnswer = t.intersection([
  t.type({ header: Header }),
  t.partial({ succeeded: t.boolean }),
]);

/** Answer of /v3/lease/grant. */
export const GrantAnswer = t.type({ ID: t.string });

/** Answer of /v3/lease/keepalive. */
export const KeepAliveAnswer = t.type({ result: t.type({ TTL: Int64 }) });

/** Answer of /v3/lease/revoke. */
export const RevokeAnswer = t.type({ header: Header });

/** Refusal of any call. */
export const Refusal = t.partial({
  code: t.number,
  message: t.string,
  error: t.string,
});
/** Refusal of any call. */
export type Refusal = t.TypeOf<typeof Refusal>;

const Event = t.intersection([
  t.type({ kv: KeyValue }),
  t.partial({ type: t.keyof({ PUT: 0, DELETE: 0 }) }),
]);
type Event = t.TypeOf<typeof Event>;

/** One line of /v3/watch. */
export const WatchLine = t.type({
  result: t.intersection([
    t.type({ header: Header }),
    t.partial({
      created: t.boolean,
      canceled: t.boolean,
      cancel_reason: t.string,
      compact_revision: Int64,
      events: t.array(Event),
    }),
  ]),
});
/** One line of /v3/watch. */
export type WatchLine = t.TypeOf<typeof WatchLine>;

/** gRPC codes of refusals. */
export const CODES = {
  invalidArgument: 3,
  deadlineExceeded: 4,
  notFound: 5,
  resourceExhausted: 8,
  unavailable: 14,
} as const;

/** End of a range that has none. */
const OPEN_END = Buffer.from([0]);
const HIGHEST_BYTE = 0xff;

/** Base64 of a text. */
export function encodeText(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

/** Text of a base64. */
export function decodeText(base64 = ""): string {
  return Buffer.from(base64, "base64").toString("utf8");
}

/** The range of all keys with a prefix. */
export function prefixRange(
  prefix: string,
): { readonly key: string; readonly range_end: string } {
  const start = prefix === "" ? OPEN_END : Buffer.from(prefix, "utf8");
  return {
    key: start.toString("base64"),
    range_end: endOfPrefix(prefix).toString("base64"),
  };
}

/** A transaction that writes if all conditions hold. */
export function txnRequest(
  conditions: readonly Condition[],
  writes: readonly Write[],
): unknown {
  return { compare: conditions.map(compare), success: writes.map(operation) };
}

/** The entry of a stored value. */
export function entryOf(kv: KeyValue): Entry {
  return {
    key: decodeText(kv.key),
    value: decodeText(kv.value),
    revision: kv.mod_revision,
  };
}

/** The change of an event. */
export function changeOf(event: Event): Change {
  const { kv } = event;
  switch (event.type ?? "PUT") {
    case "PUT":
      return { type: "put", entry: entryOf(kv) };
    case "DELETE":
      return {
        type: "deleted",
        key: decodeText(kv.key),
        revision: kv.mod_revision,
      };
  }
}

function compare(condition: Condition): unknown {
  return {
    key: encodeText(condition.key),
    target: "MOD",
    result: "EQUAL",
    mod_revision: String(condition.revision),
  };
}

function operation(write: Write): unknown {
  const key = encodeText(write.key);
  switch (write.type) {
    case "put": {
      const lease = write.lease === undefined ? {} : { lease: write.lease };
      return { request_put: { key, value: encodeText(write.value), ...lease } };
    }
    case "delete":
      return { request_delete_range: { key } };
  }
}

/** The smallest key after all keys with the prefix. */
function endOfPrefix(prefix: string): Buffer {
  const bytes = [...Buffer.from(prefix, "utf8")];
  while (bytes.at(-1) === HIGHEST_BYTE) bytes.pop();
  const last = bytes.pop();
  if (last === undefined) return OPEN_END;
  return Buffer.from([...bytes, last + 1]);
}
