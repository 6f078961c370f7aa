/**
 * Codecs of the data types that messages between instances share.
 *
 * @module
 */
import * as t from "io-ts";
import type { Answer, Reason, Resources } from "../types.ts";

/** Codec of {@linkcode Resources}. */
export const ResourcesCodec: t.Type<Resources> = t.type({
  cpuMillis: t.number,
  memoryMib: t.number,
  accelerators: t.number,
  slots: t.number,
});

/** Codec of {@linkcode Answer}. */
export const AnswerCodec: t.Type<Answer> = t.type({
  status: t.number,
  headers: t.record(t.string, t.string),
  body: t.string,
  worker: t.string,
});

const REASON_TYPES: { readonly [T in Reason["type"]]: true } = {
  placed: true,
  unknownKey: true,
  withdrawnKey: true,
  unknownWorkload: true,
  notAllowed: true,
  badRequest: true,
  tooLarge: true,
  queueFull: true,
  deadlineTooClose: true,
  overLimit: true,
  overShare: true,
  noRoom: true,
  neverFits: true,
  noOwner: true,
  overloaded: true,
  isolated: true,
  stopping: true,
  storeAway: true,
  notConfigured: true,
  workerLost: true,
  workerFailed: true,
  peerLost: true,
  keyMemoryLost: true,
  duplicateKey: true,
  attemptsSpent: true,
  cancelled: true,
};

function isReason(value: unknown): value is Reason {
  const type = (value as { type?: unknown } | null)?.type;
  return typeof type === "string" && Object.hasOwn(REASON_TYPES, type);
}

/** Codec of {@linkcode Reason}. */
export const ReasonCodec: t.Type<Reason> = new t.Type<Reason>(
  "Reason",
  isReason,
  (value, context) =>
    isReason(value) ? t.success(value) : t.failure(value, context),
  t.identity,
);

/** Codec of the urgency of work. */
export const UrgencyCodec = t.union([
  t.literal("urgent"),
  t.literal("deferred"),
]);

/** Codec of an optional number. */
export const OptionalNumber: t.Type<number | undefined> = t.union([
  t.number,
  t.undefined,
]);
