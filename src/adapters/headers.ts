/**
 * Headers that belong to one connection and those that are passed on.
 *
 * @module
 */

/** Headers of RFC 9110 and RFC 9112 that end at the next hop. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Drops the headers that belong to the connection, and those that it names. */
export function endToEndHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  const lowered = Object.entries(headers).map(
    ([name, value]) => [name.toLowerCase(), value] as const,
  );
  const named = new Set(
    lowered
      .filter(([name]) => name === "connection")
      .flatMap(([, value]) => value.split(","))
      .map((name) => name.trim().toLowerCase()),
  );
  return Object.fromEntries(
    lowered.filter(([name]) => !HOP_BY_HOP.has(name) && !named.has(name)),
  );
}
