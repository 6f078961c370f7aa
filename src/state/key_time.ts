/**
 * Extracts the creation time that some idempotency keys contain.
 *
 * @module
 */

const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const ULID = /^[0-7][0-9A-HJKMNP-TV-Z]{25}$/i;
const CROCKFORD = "0123456789ABCDEFGHJKMNPQRSTVWXYZ";
const ULID_TIME_CHARS = 10;

/** Creation time of a UUIDv7 or ULID in milliseconds since 1970; `undefined` for other keys. */
export function keyTimeMs(key: string): number | undefined {
  const uuid = UUID_V7.exec(key);
  if (uuid !== null) return parseInt(`${uuid[1]}${uuid[2]}`, 16);
  return ULID.test(key) ? ulidTimeMs(key) : undefined;
}

function ulidTimeMs(key: string): number {
  const digits = [...key.slice(0, ULID_TIME_CHARS).toUpperCase()];
  return digits.reduce(
    (time, digit) => time * CROCKFORD.length + CROCKFORD.indexOf(digit),
    0,
  );
}
