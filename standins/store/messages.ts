/**
 * Requests and errors of etcd's v3 JSON gateway: the subset that the stand-in supports.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as t from "io-ts";

const integer = t.union([t.string, t.number]);

/** Body of /v3/kv/range. */
export const RangeRequest = t.partial({
  key: t.string,
  range_end: t.string,
  limit: integer,
  keys_only: t.boolean,
  count_only: t.boolean,
  serializable: t.boolean,
});
/** Body of /v3/kv/range. */
export type RangeRequest = t.TypeOf<typeof RangeRequest>;

/** Body of /v3/kv/put. */
export const PutRequest = t.partial({
  key: t.string,
  value: t.string,
  lease: integer,
});
/** Body of /v3/kv/put. */
export type PutRequest = t.TypeOf<typeof PutRequest>;

/** Body of /v3/kv/deleterange. */
export const DeleteRequest = t.partial({ key: t.string, range_end: t.string });
/** Body of /v3/kv/deleterange. */
export type DeleteRequest = t.TypeOf<typeof DeleteRequest>;

/** Operation of a transaction. */
export const Operation = t.union([
  t.type({ request_put: PutRequest }),
  t.type({ request_delete_range: DeleteRequest }),
  t.type({ request_range: RangeRequest }),
]);
/** Operation of a transaction. */
export type Operation = t.TypeOf<typeof Operation>;

/** Condition of a transaction. */
export const Compare = t.partial({
  key: t.string,
  target: t.keyof({ VERSION: 0, CREATE: 0, MOD: 0, VALUE: 0, LEASE: 0 }),
  result: t.keyof({ EQUAL: 0, GREATER: 0, LESS: 0, NOT_EQUAL: 0 }),
  version: integer,
  create_revision: integer,
  mod_revision: integer,
  value: t.string,
  lease: integer,
});
/** Condition of a transaction. */
export type Compare = t.TypeOf<typeof Compare>;

/** Body of /v3/kv/txn. */
export const TxnRequest = t.partial({
  compare: t.array(Compare),
  success: t.array(Operation),
  failure: t.array(Operation),
});
/** Body of /v3/kv/txn. */
export type TxnRequest = t.TypeOf<typeof TxnRequest>;

/** Body of /v3/lease/grant. */
export const GrantRequest = t.partial({ TTL: integer, ID: integer });

/** Body of /v3/lease/keepalive and /v3/lease/revoke. */
export const LeaseRequest = t.type({ ID: integer });

/** Body of /v3/watch. */
export const WatchRequest = t.type({
  create_request: t.partial({
    key: t.string,
    range_end: t.string,
    start_revision: integer,
    progress_notify: t.boolean,
  }),
});

/** Error response of the service. */
export class GatewayError extends Error {
  readonly status: number;
  /** gRPC status code. */
  readonly code: number;

  constructor(message: string, options: { status: number; code: number }) {
    super(message);
    this.status = options.status;
    this.code = options.code;
  }
}

/** Error responses with the texts that etcd uses. */
export const ERRORS = {
  badRequest: () =>
    new GatewayError("invalid request", { status: 400, code: 3 }),
  notFound: () => new GatewayError("Not Found", { status: 404, code: 5 }),
  tooLarge: () =>
    new GatewayError("etcdserver: request is too large", {
      status: 400,
      code: 3,
    }),
  tooManyOperations: () =>
    new GatewayError("etcdserver: too many operations in txn request", {
      status: 400,
      code: 3,
    }),
  duplicateKey: () =>
    new GatewayError("etcdserver: duplicate key given in txn request", {
      status: 400,
      code: 3,
    }),
  leaseNotFound: () =>
    new GatewayError("etcdserver: requested lease not found", {
      status: 404,
      code: 5,
    }),
  tooManyRequests: () =>
    new GatewayError("etcdserver: too many requests", { status: 429, code: 8 }),
} as const;

/** Decodes a body; throws a `GatewayError` with status 400 if it does not match the codec. */
export function decode<A>(codec: t.Decoder<unknown, A>, body: unknown): A {
  const decoded = codec.decode(body);
  if (decoded._tag === "Right") return decoded.right;
  throw ERRORS.badRequest();
}

/** Decodes a base64 key into a byte string. */
export function keyFromBase64(text = ""): string {
  return Buffer.from(text, "base64").toString("latin1");
}

/** Encodes a byte string as base64. */
export function keyToBase64(key: string): string {
  return Buffer.from(key, "latin1").toString("base64");
}
