/**
 * Decodes and validates received JSON.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { isRight } from "fp-ts/lib/Either.js";
import * as t from "io-ts";
import { PathReporter } from "io-ts/lib/PathReporter.js";
import { err, ok, type Result } from "neverthrow";

/** The data is not JSON or does not match the codec. */
export interface DecodingFailure {
  readonly type: "undecodable";
  readonly message: string;
}

const MAX_MESSAGE_CHARS = 300;

/** Parses JSON text and decodes it; fails with `undecodable`. */
export function decodeJson<A>(
  codec: t.Decoder<unknown, A>,
  text: string | Buffer,
): Result<A, DecodingFailure> {
  return parseJson(text).andThen((value) => decodeValue(codec, value));
}

/** Decodes a parsed value; fails with `undecodable`. */
export function decodeValue<A>(
  codec: t.Decoder<unknown, A>,
  value: unknown,
): Result<A, DecodingFailure> {
  const decoded = codec.decode(value);
  if (isRight(decoded)) return ok(decoded.right);
  return err(decodingFailure(PathReporter.report(decoded).join("; ")));
}

/**
 * Integer encoded as a decimal string, as protobuf's JSON mapping encodes
 * 64-bit integers. A missing value is 0; a value that is not a safe integer of
 * JavaScript fails to decode.
 */
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
    return err(decodingFailure(String(error)));
  }
}

function decodingFailure(message: string): DecodingFailure {
  const truncated = message.slice(0, MAX_MESSAGE_CHARS);
  return { type: "undecodable", message: truncated };
}
