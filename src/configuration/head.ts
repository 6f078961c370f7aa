/**
 * Layout of publications at the store: a head that names the text by its hash,
 * the text in chunks, and a bounded history of heads.
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

/** Key of the head in force; a watch of it as a prefix sees nothing else. */
export const HEAD_KEY = "zinniapoint/configuration/head";

/** Prefix of the heads of the past. */
export const HISTORY_PREFIX = "zinniapoint/configuration/history/";

/** Largest chunk of text, below the store's limit of a value. */
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

/** What the store says of a publication: all but its text. */
export type Head = t.TypeOf<typeof HeadCodec>;

/** Describes a publication by the hash and the chunks of its text. */
export function headOf(publication: Publication): Head {
  const { text, ...rest } = publication;
  return {
    ...rest,
    chunks: splitText(text).length,
    sha256: hashText(text),
  };
}

/** Reads a head as stored. */
export function decodeHead(value: string): Result<Head, PublicationFailure> {
  const decoded = HeadCodec.decode(parseJson(value));
  if (either.isRight(decoded)) return ok(decoded.right);
  return err({
    type: "headMalformed",
    message: "the stored head is no head of a publication",
  });
}

/** Puts a publication together if the text is the one that the head names. */
export function assemble(
  head: Head,
  text: string,
): Result<Publication, PublicationFailure> {
  if (hashText(text) !== head.sha256) {
    const message = `the text of publication ${head.number} has another hash`;
    return err({ type: "textMismatch", message });
  }
  const { number, publishId, operator, at } = head;
  return ok({ number, publishId, operator, at, text });
}

/** Parts a text into chunks of at most {@linkcode CHUNK_BYTES}, never within a character. */
export function splitText(text: string): readonly string[] {
  const bytes = Buffer.from(text);
  const chunks: string[] = [];
  for (let start = 0; start < bytes.length;) {
    const end = characterStart(bytes, start + CHUNK_BYTES);
    chunks.push(bytes.toString("utf8", start, end));
    start = end;
  }
  return chunks.length === 0 ? [""] : chunks;
}

/** Key of one chunk of a text. */
export function chunkKey(publishId: string, index: number): string {
  return `${TEXT_PREFIX}${publishId}/${index}`;
}

/** Keys of all chunks of a publication. */
export function chunkKeys(head: Head): readonly string[] {
  return Array.from(
    { length: head.chunks },
    (_, index) => chunkKey(head.publishId, index),
  );
}

/** Key of a head of the past; keys sort by number. */
export function historyKey(number: number): string {
  return `${HISTORY_PREFIX}${String(number).padStart(NUMBER_DIGITS, "0")}`;
}

function hashText(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

function characterStart(bytes: Buffer, wanted: number): number {
  if (wanted >= bytes.length) return bytes.length;
  let start = wanted;
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
