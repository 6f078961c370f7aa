/**
 * Layout of publications in the store: a head with the hash of the text, the
 * text in chunks, and a bounded history of earlier heads.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { either } from "fp-ts";
import * as t from "io-ts";
import { err, ok, type Result } from "neverthrow";
import type { Publication } from "../operator_set.ts";
import type { PublicationFailure } from "./failures.ts";

/** Key of the active head. No other key starts with it, so that it also serves as the prefix of a watch. */
export const HEAD_KEY = "zinniapoint/configuration/head";

/** Key prefix of the history; it contains the active head too. */
export const HISTORY_PREFIX = "zinniapoint/configuration/history/";

/** Largest size of a chunk; below the store's limit for a value. */
export const CHUNK_BYTES = 900_000;

const TEXT_PREFIX = "zinniapoint/configuration/text/";
const NUMBER_DIGITS = 12;

const positiveInteger = t.refinement(
  t.number,
  (value) => Number.isSafeInteger(value) && value > 0,
  "PositiveInteger",
);

/** Codec of {@linkcode Head}. */
export const HeadCodec = t.readonly(t.type({
  number: positiveInteger,
  publishId: t.string,
  operator: t.string,
  at: t.string,
  chunks: positiveInteger,
  sha256: t.string,
}));

/** Description of a publication in the store: everything but the text. */
export type Head = t.TypeOf<typeof HeadCodec>;

/** Creates the head of a publication: its metadata with the hash and the number of chunks of the text. */
export function createHead(publication: Publication): Head {
  const { text, ...rest } = publication;
  return {
    ...rest,
    chunks: splitIntoChunks(text).length,
    sha256: hashText(text),
  };
}

/** Decodes a head as read from the store. */
export function decodeHead(value: string): Result<Head, PublicationFailure> {
  const decoded = HeadCodec.decode(parseJson(value));
  if (either.isRight(decoded)) return ok(decoded.right);
  return err({
    type: "headMalformed",
    message: "the stored publication head is malformed",
  });
}

/** Combines head and text to a publication; fails if the hash of the text differs from the hash in the head. */
export function assemblePublication(
  head: Head,
  text: string,
): Result<Publication, PublicationFailure> {
  if (hashText(text) !== head.sha256) {
    const message =
      `the text of publication ${head.number} does not match its hash`;
    return err({ type: "textMismatch", message });
  }
  const { number, publishId, operator, at } = head;
  return ok({ number, publishId, operator, at, text });
}

/** Splits a text into chunks of at most {@linkcode CHUNK_BYTES} bytes, at character boundaries. */
export function splitIntoChunks(text: string): readonly string[] {
  const bytes = Buffer.from(text);
  const chunks: string[] = [];
  for (let start = 0; start < bytes.length;) {
    const end = characterBoundary(bytes, start + CHUNK_BYTES);
    chunks.push(bytes.toString("utf8", start, end));
    start = end;
  }
  return chunks.length === 0 ? [""] : chunks;
}

/** Key of one chunk of a text; `index` counts from 0. */
export function chunkKey(publishId: string, index: number): string {
  return `${TEXT_PREFIX}${publishId}/${index}`;
}

/** Keys of all chunks of a publication, in order. */
export function allChunkKeys(head: Head): readonly string[] {
  return Array.from(
    { length: head.chunks },
    (_, index) => chunkKey(head.publishId, index),
  );
}

/** Key of a head in the history. Keys sort by publication number. */
export function historyKey(number: number): string {
  return `${HISTORY_PREFIX}${String(number).padStart(NUMBER_DIGITS, "0")}`;
}

function hashText(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Last start of a UTF-8 character at or before an offset. */
function characterBoundary(bytes: Buffer, offset: number): number {
  if (offset >= bytes.length) return bytes.length;
  let start = offset;
  while ((bytes[start]! & 0xc0) === 0x80) start--;
  return start;
}

function parseJson(value: string): unknown {
  try {
    return JSON.parse(value);
  } catch {
    return undefined;
  }
}
