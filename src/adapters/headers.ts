/**
 * Separates hop-by-hop headers from end-to-end headers.
 *
 * @module
 */

/** Headers that a proxy does not forward, by RFC 9110 and RFC 9112. */
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

/** Removes hop-by-hop headers, including those listed in `Connection`; names become lower case. */
export function endToEndHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  const lowerCased = Object.entries(headers).map(
    ([name, value]) => [name.toLowerCase(), value] as const,
  );
  const connectionHeaders = new Set(
    lowerCased
      .filter(([name]) => name === "connection")
      .flatMap(([, value]) => value.split(","))
      .map((name) => name.trim().toLowerCase()),
  );
  return Object.fromEntries(
    lowerCased.filter(([name]) =>
      !HOP_BY_HOP.has(name) && !connectionHeaders.has(name)
    ),
  );
}
