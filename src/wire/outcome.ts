/**
 * Codec of the outcome of a caller's request in messages between instances.
 *
 * @module
 */
import * as t from "io-ts";
import type { Outcome } from "../types.ts";
import { AnswerCodec, ReasonCodec } from "./codecs.ts";

/** Codec of {@linkcode Outcome}. */
export const OutcomeCodec: t.Type<Outcome> = t.union([
  t.type({ type: t.literal("done"), answer: AnswerCodec }),
  t.intersection([
    t.type({ type: t.literal("notRun"), reason: ReasonCodec }),
    t.partial({ retryAfterMs: t.number }),
  ]),
  t.type({ type: t.literal("unknown"), reason: ReasonCodec }),
]);
