/**
 * Messages by which instances keep each other's configuration current.
 *
 * @module
 */
import * as t from "io-ts";
import { HeadCodec } from "../configuration/head.ts";
import type { Call, Notice } from "../ports/peers.ts";

/** What an instance has in force. */
export const Standing = t.type({
  head: t.union([HeadCodec, t.null]),
  /** Milliseconds since the store was known to hold this head; null if never. */
  confirmedAgoMs: t.union([t.number, t.null]),
});
/** What an instance has in force. */
export type Standing = t.TypeOf<typeof Standing>;

/** Asks a peer what it has in force, and tells it the number that the caller has; 0 if none. */
export const standingCall: Call<{ number: number }, Standing> = {
  method: "configuration.standing",
  params: t.type({ number: t.number }),
  result: Standing,
};

/** Names a chunk of the text of a publication. */
export const ChunkQuery = t.type({ publishId: t.string, index: t.number });

/** Asks a peer for one chunk of a text; null if it has another publication in force. */
export const chunkCall: Call<
  t.TypeOf<typeof ChunkQuery>,
  { chunk: string | null }
> = {
  method: "configuration.chunk",
  params: ChunkQuery,
  result: t.type({ chunk: t.union([t.string, t.null]) }),
};

/** Tells peers that a publication has come into force at the sender. */
export const appliedNotice: Notice<{ number: number }> = {
  method: "configuration.applied",
  params: t.type({ number: t.number }),
};
