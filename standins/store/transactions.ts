/**
 * Executes range reads, writes and transactions on the state.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Leases } from "./leases.ts";
import {
  type Compare,
  type DeleteRequest,
  ERRORS,
  keyFromBase64,
  keyToBase64,
  type Operation,
  type PutRequest,
  type RangeRequest,
  type TxnRequest,
} from "./messages.ts";
import { type KeyValue, type Mutation, NO_LEASE, type State } from "./state.ts";

/** JSON message of the gateway; like etcd's, it omits fields that have their zero value. */
export type Message = Readonly<Record<string, unknown>>;

/** Maximum number of operations in a transaction: etcd's default. */
const MAX_OPERATIONS = 128;

/** Header of every response. */
export function encodeHeader(state: State): Message {
  return {
    cluster_id: "14841639068965178418",
    member_id: "10276657743932975437",
    revision: String(state.revision),
    raft_term: "2",
  };
}

/** Encodes a stored value as the gateway does. */
export function encodeKeyValue(kv: KeyValue): Message {
  return {
    key: keyToBase64(kv.key),
    create_revision: String(kv.createRevision),
    mod_revision: String(kv.modRevision),
    version: String(kv.version),
    value: kv.value,
    ...(kv.lease === NO_LEASE ? {} : { lease: kv.lease }),
  };
}

/** Executes a range request. */
export function readRange(state: State, request: RangeRequest): Message {
  const start = keyFromBase64(request.key);
  const found = state.range(start, keyFromBase64(request.range_end));
  const limit = Number(request.limit ?? 0);
  const kept = limit > 0 ? found.slice(0, limit) : found;
  if (found.length === 0) return { header: encodeHeader(state) };
  return {
    header: encodeHeader(state),
    ...(request.count_only ? {} : { kvs: kept.map(encodeKeyValue) }),
    ...(kept.length < found.length ? { more: true } : {}),
    count: String(found.length),
  };
}

/** Executes writes and transactions. */
export class Transactions {
  readonly #state: State;
  readonly #leases: Leases;
  readonly #maxValueBytes: number;

  constructor(
    state: State,
    options: { readonly leases: Leases; readonly maxValueBytes: number },
  ) {
    this.#state = state;
    this.#leases = options.leases;
    this.#maxValueBytes = options.maxValueBytes;
  }

  /**
   * Executes a transaction: the `success` operations if all compares match, the
   * `failure` operations otherwise. Throws a `GatewayError` if it is invalid.
   */
  run(request: TxnRequest): Message {
    const compares = request.compare ?? [];
    const succeeded = compares.every((compare) => this.#matches(compare));
    const operations = (succeeded ? request.success : request.failure) ?? [];
    if (operations.length > MAX_OPERATIONS) throw ERRORS.tooManyOperations();
    const mutations = operations.flatMap((operation) =>
      this.#toMutations(operation)
    );
    if (hasDuplicatePut(mutations)) throw ERRORS.duplicateKey();
    this.#state.apply(mutations);
    const responses = operations.map((operation) =>
      this.#encodeResponse(operation)
    );
    return {
      header: encodeHeader(this.#state),
      ...(succeeded ? { succeeded } : {}),
      ...(responses.length > 0 ? { responses } : {}),
    };
  }

  /** Executes a put. Throws a `GatewayError` for a value that is too large or an unknown lease. */
  put(request: PutRequest): Message {
    this.#state.apply([this.#toPutMutation(request)]);
    return { header: encodeHeader(this.#state) };
  }

  /** Executes a delete of a key or a range. */
  delete(request: DeleteRequest): Message {
    const deleted = this.#state.apply([toDeleteMutation(request)]).length;
    return {
      header: encodeHeader(this.#state),
      ...(deleted > 0 ? { deleted: String(deleted) } : {}),
    };
  }

  #matches(compare: Compare): boolean {
    const kv = this.#state.get(keyFromBase64(compare.key));
    const order = compareTarget(compare, kv);
    switch (compare.result ?? "EQUAL") {
      case "EQUAL":
        return order === 0;
      case "NOT_EQUAL":
        return order !== 0;
      case "GREATER":
        return order > 0;
      case "LESS":
        return order < 0;
    }
  }

  #toMutations(operation: Operation): Mutation[] {
    if ("request_put" in operation) {
      return [this.#toPutMutation(operation.request_put)];
    }
    if ("request_delete_range" in operation) {
      return [toDeleteMutation(operation.request_delete_range)];
    }
    return [];
  }

  #toPutMutation(request: PutRequest): Mutation {
    const value = request.value ?? "";
    if (Buffer.byteLength(value, "base64") > this.#maxValueBytes) {
      throw ERRORS.tooLarge();
    }
    const lease = String(request.lease ?? NO_LEASE);
    if (lease !== NO_LEASE && !this.#leases.has(lease)) {
      throw ERRORS.leaseNotFound();
    }
    return { type: "put", key: keyFromBase64(request.key), value, lease };
  }

  #encodeResponse(operation: Operation): Message {
    if ("request_range" in operation) {
      return {
        response_range: readRange(this.#state, operation.request_range),
      };
    }
    const answer = { header: { revision: String(this.#state.revision) } };
    if ("request_put" in operation) return { response_put: answer };
    return { response_delete_range: answer };
  }
}

function hasDuplicatePut(mutations: readonly Mutation[]): boolean {
  const keys = mutations
    .filter((mutation) => mutation.type === "put")
    .map((mutation) => mutation.key);
  return new Set(keys).size < keys.length;
}

function toDeleteMutation(request: DeleteRequest): Mutation {
  return {
    type: "delete",
    key: keyFromBase64(request.key),
    end: keyFromBase64(request.range_end),
  };
}

function compareTarget(compare: Compare, kv: KeyValue | undefined): number {
  switch (compare.target ?? "VERSION") {
    case "VERSION":
      return (kv?.version ?? 0) - Number(compare.version ?? 0);
    case "CREATE":
      return (kv?.createRevision ?? 0) - Number(compare.create_revision ?? 0);
    case "MOD":
      return (kv?.modRevision ?? 0) - Number(compare.mod_revision ?? 0);
    case "LEASE":
      return Number(kv?.lease ?? 0) - Number(compare.lease ?? 0);
    case "VALUE":
      return compareText(kv?.value ?? "", compare.value ?? "");
  }
}

function compareText(left: string, right: string): number {
  return Buffer.compare(
    Buffer.from(left, "base64"),
    Buffer.from(right, "base64"),
  );
}
