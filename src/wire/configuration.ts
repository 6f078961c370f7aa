/**
 * Messages with which instances exchange the operators' configuration.
 *
 * @module
 */
import * as t from "io-ts";
import { HeadCodec } from "../configuration/head.ts";
import type { RpcMethod, RpcNotification } from "../ports/peers.ts";

/** The head of the publication that is active at an instance; `null` before the first one. */
export const ActiveHead = t.type({
  head: t.union([HeadCodec, t.null]),
  /** Milliseconds since the store last confirmed this head; `null` if it never did. */
  confirmedAgoMs: t.union([t.number, t.null]),
});
/** The head of the publication that is active at an instance; `null` before the first one. */
export type ActiveHead = t.TypeOf<typeof ActiveHead>;

/** Returns the active head of a peer. `number` is the caller's active publication, 0 if there is none. */
export const activeHeadCall: RpcMethod<{ number: number }, ActiveHead> = {
  method: "configuration.standing",
  params: t.type({ number: t.number }),
  result: ActiveHead,
};

/** Identifies one chunk of the text of a publication. */
export const ChunkRequest = t.type({ publishId: t.string, index: t.number });

/** Returns one chunk of a publication's text from a peer; `null` if another publication is active there. */
export const chunkCall: RpcMethod<
  t.TypeOf<typeof ChunkRequest>,
  { chunk: string | null }
> = {
  method: "configuration.chunk",
  params: ChunkRequest,
  result: t.type({ chunk: t.union([t.string, t.null]) }),
};

/** Notifies peers of the number of the publication that has become active at the sender. */
export const activatedNotice: RpcNotification<{ number: number }> = {
  method: "configuration.applied",
  params: t.type({ number: t.number }),
};
