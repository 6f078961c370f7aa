/**
 * Reads publications from other instances while the store is unreachable.
 *
 * @module
 */
import { err, type ResultAsync, safeTry } from "neverthrow";
import type { PeerFailure } from "../errors.ts";
import type { Publication } from "../operator_set.ts";
import type { Peers } from "../ports/peers.ts";
import {
  type ActiveHead,
  activeHeadCall,
  chunkCall,
} from "../wire/configuration.ts";
import type { PublicationFailure } from "./failures.ts";
import { assemblePublication, type Head, splitIntoChunks } from "./head.ts";

/** Timeout of a call to a peer, milliseconds. */
const PEER_CALL_TIMEOUT_MS = 1_000;

/** Why a publication could not be read from a peer. */
export type PeerReadFailure = PeerFailure | PublicationFailure;

/** Reads the active head of a peer. `number` informs the peer of the publication that is active at the caller. */
export function readPeerHead(
  peers: Peers,
  peer: string,
  options: { readonly number: number },
): ResultAsync<ActiveHead, PeerFailure> {
  return peers.call(peer, activeHeadCall, {
    params: options,
    timeoutMs: PEER_CALL_TIMEOUT_MS,
  });
}

/** Fetches the publication of a head from a peer, chunk by chunk, and verifies its hash. */
export function readPublicationFromPeer(
  peers: Peers,
  peer: string,
  options: { readonly head: Head },
): ResultAsync<Publication, PeerReadFailure> {
  const { head } = options;
  return safeTry(async function* () {
    const chunks: string[] = [];
    for (let index = 0; index < head.chunks; index++) {
      const params = { publishId: head.publishId, index };
      const timeoutMs = PEER_CALL_TIMEOUT_MS;
      const result = yield* peers.call(peer, chunkCall, { params, timeoutMs });
      if (result.chunk === null) return err(publicationReplaced(head));
      chunks.push(result.chunk);
    }
    return assemblePublication(head, chunks.join(""));
  });
}

/** Response to a peer's request for a chunk; `null` if `publication` is another one or the index is out of range. */
export function chunkResponse(
  publication: Publication | undefined,
  query: { readonly publishId: string; readonly index: number },
): { chunk: string | null } {
  if (publication?.publishId !== query.publishId) return { chunk: null };
  return { chunk: splitIntoChunks(publication.text)[query.index] ?? null };
}

function publicationReplaced(head: Head): PublicationFailure {
  const message = `the peer no longer has publication ${head.number}`;
  return { type: "textMissing", message };
}
