/**
 * Reads publications from other instances while the store is out of reach.
 *
 * @module
 */
import { err, type ResultAsync, safeTry } from "neverthrow";
import type { PeerFailure } from "../errors.ts";
import type { Publication } from "../operator_set.ts";
import type { Peers } from "../ports/peers.ts";
import {
  chunkCall,
  type Standing,
  standingCall,
} from "../wire/configuration.ts";
import type { PublicationFailure } from "./failures.ts";
import { assemble, type Head, splitText } from "./head.ts";

/** Longest wait for a peer, milliseconds. */
const PEER_TIMEOUT_MS = 1_000;

/** Why a peer gave no publication. */
export type PeerReadFailure = PeerFailure | PublicationFailure;

/** Asks a peer what it has in force. */
export function readStanding(
  peers: Peers,
  peer: string,
  options: { readonly number: number },
): ResultAsync<Standing, PeerFailure> {
  return peers.call(peer, standingCall, {
    params: options,
    timeoutMs: PEER_TIMEOUT_MS,
  });
}

/** Fetches the whole publication that a head names, and checks its hash. */
export function readFromPeer(
  peers: Peers,
  peer: string,
  options: { readonly head: Head },
): ResultAsync<Publication, PeerReadFailure> {
  const { head } = options;
  return safeTry(async function* () {
    const chunks: string[] = [];
    for (let index = 0; index < head.chunks; index++) {
      const params = { publishId: head.publishId, index };
      const timeoutMs = PEER_TIMEOUT_MS;
      const result = yield* peers.call(peer, chunkCall, { params, timeoutMs });
      if (result.chunk === null) return err(movedOn(head));
      chunks.push(result.chunk);
    }
    return assemble(head, chunks.join(""));
  });
}

/** Answers a peer that asks for a chunk. */
export function chunkOf(
  publication: Publication | undefined,
  query: { readonly publishId: string; readonly index: number },
): { chunk: string | null } {
  if (publication?.publishId !== query.publishId) return { chunk: null };
  return { chunk: splitText(publication.text)[query.index] ?? null };
}

function movedOn(head: Head): PublicationFailure {
  const message = `the peer no longer has publication ${head.number}`;
  return { type: "textMissing", message };
}
