/**
 * Decodes what others send.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { isRight } from "fp-ts/lib/Either.js";
import * as t from "io-ts";
import { PathReporter } from "io-ts/lib/PathReporter.js";
import { err, ok, type Result } from "neverthrow";

/** Something that is not what was agreed. */
export interface DecodingFailure {
  readonly type: "undecodable";
  readonly message: string;
}

const MAX_MESSAGE_LENGTH = 300;

/** Decodes JSON text. */
export function decodeJson<A>(
  codec: t.Decoder<unknown, A>,
  text: string | Buffer,
): Result<A, DecodingFailure> {
  return parseJson(text).andThen((value) => decodeValue(codec, value));
}

/** Decodes a parsed value. */
export function decodeValue<A>(
  codec: t.Decoder<unknown, A>,
  value: unknown,
): Result<A, DecodingFailure> {
  const decoded = codec.decode(value);
  if (isRight(decoded)) return ok(decoded.right);
  return err(undecodable(PathReporter.report(decoded).join("; ")));
}

/** A whole number written as a decimal string, as JSON carries 64-bit numbers; absent is 0. */
export const Int64: t.Type<number, string, unknown> = new t.Type(
  "Int64",
  Number.isSafeInteger as t.Is<number>,
  (input, context) => {
    const number = Number(input ?? 0);
    return Number.isSafeInteger(number)
      ? t.success(number)
      : t.failure(input, context);
  },
  String,
);

function parseJson(text: string | Buffer): Result<unknown, DecodingFailure> {
  try {
    return ok(JSON.parse(text.toString()));
  } catch (error) {
    return err(undecodable(String(error)));
  }
}

function undecodable(message: string): DecodingFailure {
  const short = message.slice(0, MAX_MESSAGE_LENGTH);
  return { type: "undecodable", message: short };
}
