/**
 * Messages of etcd's v3 JSON gateway, and conversions to and from the types of
 * the store.
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

/** Response of /v3/kv/range. */
export const RangeResponse = t.intersection([
  t.type({ header: Header }),
  t.partial({ kvs: t.array(KeyValue), more: t.boolean }),
]);

/** Response of /v3/kv/txn. */
export const TxnResponse = t.intersection([
  t.type({ header: Header }),
  t.partial({ succeeded: t.boolean }),
]);

/** Response of /v3/lease/grant. */
export const LeaseGrantResponse = t.type({ ID: t.string });

/** Response of /v3/lease/keepalive; a `TTL` of 0 means that the lease has expired. */
export const LeaseKeepAliveResponse = t.type({
  result: t.type({ TTL: Int64 }),
});

/** Response of /v3/lease/revoke. */
export const LeaseRevokeResponse = t.type({ header: Header });

/** Error response of any call. */
export const ErrorResponse = t.partial({
  code: t.number,
  message: t.string,
  error: t.string,
});
/** Error response of any call. */
export type ErrorResponse = t.TypeOf<typeof ErrorResponse>;

const Event = t.intersection([
  t.type({ kv: KeyValue }),
  t.partial({ type: t.keyof({ PUT: 0, DELETE: 0 }) }),
]);
type Event = t.TypeOf<typeof Event>;

/** One line of the response stream of /v3/watch. */
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
/** One line of the response stream of /v3/watch. */
export type WatchLine = t.TypeOf<typeof WatchLine>;

/** gRPC status codes. */
export const GRPC_CODES = {
  invalidArgument: 3,
  deadlineExceeded: 4,
  notFound: 5,
  resourceExhausted: 8,
  unavailable: 14,
} as const;

/** Range end that means "no upper bound"; as a start, the lowest possible key. */
const UNBOUNDED = Buffer.from([0]);
const HIGHEST_BYTE = 0xff;

/** Encodes text as UTF-8 in base64. */
export function textToBase64(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

/** Decodes UTF-8 text from base64. */
export function base64ToText(base64 = ""): string {
  return Buffer.from(base64, "base64").toString("utf8");
}

/** Returns the range that contains all keys with a prefix. */
export function prefixRange(
  prefix: string,
): { readonly key: string; readonly range_end: string } {
  const start = prefix === "" ? UNBOUNDED : Buffer.from(prefix, "utf8");
  return {
    key: start.toString("base64"),
    range_end: prefixRangeEnd(prefix).toString("base64"),
  };
}

/** Builds the request of a transaction that applies `writes` if all `conditions` hold. */
export function txnRequest(
  conditions: readonly Condition[],
  writes: readonly Write[],
): unknown {
  return {
    compare: conditions.map(comparison),
    success: writes.map(writeOperation),
  };
}

/** Converts a key-value message to a store entry. */
export function toEntry(kv: KeyValue): Entry {
  return {
    key: base64ToText(kv.key),
    value: base64ToText(kv.value),
    revision: kv.mod_revision,
  };
}

/** Converts an event of a watch to a change. */
export function toChange(event: Event): Change {
  const { kv } = event;
  switch (event.type ?? "PUT") {
    case "PUT":
      return { type: "put", entry: toEntry(kv) };
    case "DELETE":
      return {
        type: "deleted",
        key: base64ToText(kv.key),
        revision: kv.mod_revision,
      };
  }
}

function comparison(condition: Condition): unknown {
  return {
    key: textToBase64(condition.key),
    target: "MOD",
    result: "EQUAL",
    mod_revision: String(condition.revision),
  };
}

function writeOperation(write: Write): unknown {
  const key = textToBase64(write.key);
  switch (write.type) {
    case "put": {
      const lease = write.lease === undefined ? {} : { lease: write.lease };
      return {
        request_put: { key, value: textToBase64(write.value), ...lease },
      };
    }
    case "delete":
      return { request_delete_range: { key } };
  }
}

/** Returns the smallest key that is greater than every key with the prefix. */
function prefixRangeEnd(prefix: string): Buffer {
  const bytes = [...Buffer.from(prefix, "utf8")];
  while (bytes.at(-1) === HIGHEST_BYTE) bytes.pop();
  const lastByte = bytes.pop();
  if (lastByte === undefined) return UNBOUNDED;
  return Buffer.from([...bytes, lastByte + 1]);
}
