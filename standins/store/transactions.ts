/**
 * Carries out reads and transactions on the state.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Leases } from "./leases.ts";
import {
  type Compare,
  type DeleteRequest,
  keyFromBase64,
  keyToBase64,
  type Operation,
  type PutRequest,
  type RangeRequest,
  REFUSALS,
  type TxnRequest,
} from "./messages.ts";
import { type KeyValue, type Mutation, NO_LEASE, type State } from "./state.ts";

/** JSON object of the gateway; fields with their zero value are left out. */
export type Message = Readonly<Record<string, unknown>>;

/** Most operations of a transaction, as etcd is shipped. */
const MAX_OPERATIONS = 128;

/** Header of every answer. */
export function header(state: State): Message {
  return {
    cluster_id: "14841639068965178418",
    member_id: "10276657743932975437",
    revision: String(state.revision),
    raft_term: "2",
  };
}

/** A value as the gateway writes it. */
export function keyValueMessage(kv: KeyValue): Message {
  return {
    key: keyToBase64(kv.key),
    create_revision: String(kv.createRevision),
    mod_revision: String(kv.modRevision),
    version: String(kv.version),
    value: kv.value,
    ...(kv.lease === NO_LEASE ? {} : { lease: kv.lease }),
  };
}

/** Answers a range request. */
export function readRange(state: State, request: RangeRequest): Message {
  const start = keyFromBase64(request.key);
  const found = state.range(start, keyFromBase64(request.range_end));
  const limit = Number(request.limit ?? 0);
  const kept = limit > 0 ? found.slice(0, limit) : found;
  if (found.length === 0) return { header: header(state) };
  return {
    header: header(state),
    ...(request.count_only ? {} : { kvs: kept.map(keyValueMessage) }),
    ...(kept.length < found.length ? { more: true } : {}),
    count: String(found.length),
  };
}

/** Carries out writes and transactions. */
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

  /** Answers a transaction. */
  run(request: TxnRequest): Message {
    const compares = request.compare ?? [];
    const succeeded = compares.every((compare) => this.#holds(compare));
    const operations = (succeeded ? request.success : request.failure) ?? [];
    if (operations.length > MAX_OPERATIONS) throw REFUSALS.tooManyOperations();
    const mutations = operations.flatMap((operation) =>
      this.#mutation(operation)
    );
    if (putsAKeyTwice(mutations)) throw REFUSALS.duplicateKey();
    this.#state.apply(mutations);
    const responses = operations.map((operation) => this.#respond(operation));
    return {
      header: header(this.#state),
      ...(succeeded ? { succeeded } : {}),
      ...(responses.length > 0 ? { responses } : {}),
    };
  }

  /** Answers a put. */
  put(request: PutRequest): Message {
    this.#state.apply([this.#putMutation(request)]);
    return { header: header(this.#state) };
  }

  /** Answers a delete. */
  delete(request: DeleteRequest): Message {
    const deleted = this.#state.apply([deleteMutation(request)]).length;
    return {
      header: header(this.#state),
      ...(deleted > 0 ? { deleted: String(deleted) } : {}),
    };
  }

  #holds(compare: Compare): boolean {
    const kv = this.#state.get(keyFromBase64(compare.key));
    const order = orderOf(compare, kv);
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

  #mutation(operation: Operation): Mutation[] {
    if ("request_put" in operation) {
      return [this.#putMutation(operation.request_put)];
    }
    if ("request_delete_range" in operation) {
      return [deleteMutation(operation.request_delete_range)];
    }
    return [];
  }

  #putMutation(request: PutRequest): Mutation {
    const value = request.value ?? "";
    if (Buffer.byteLength(value, "base64") > this.#maxValueBytes) {
      throw REFUSALS.tooLarge();
    }
    const lease = String(request.lease ?? NO_LEASE);
    if (lease !== NO_LEASE && !this.#leases.has(lease)) {
      throw REFUSALS.leaseNotFound();
    }
    return { type: "put", key: keyFromBase64(request.key), value, lease };
  }

  #respond(operation: Operation): Message {
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

function putsAKeyTwice(mutations: readonly Mutation[]): boolean {
  const keys = mutations
    .filter((mutation) => mutation.type === "put")
    .map((mutation) => mutation.key);
  return new Set(keys).size < keys.length;
}

function deleteMutation(request: DeleteRequest): Mutation {
  return {
    type: "delete",
    key: keyFromBase64(request.key),
    end: keyFromBase64(request.range_end),
  };
}

function orderOf(compare: Compare, kv: KeyValue | undefined): number {
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
