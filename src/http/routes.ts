/**
 * Route table of the HTTP server.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";

/** A request to one route. */
export interface RouteCall {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Decoded values of the named parts of the pattern. */
  readonly parts: Readonly<Record<string, string>>;
}

/** A method and path pattern with its handler. */
export interface Route {
  /** HTTP method; `*` for any. */
  readonly method: string;
  /** Path pattern such as `/v1/work/:id`; a last part `*rest` matches the rest of the path. */
  readonly pattern: string;
  readonly answer: (call: RouteCall) => Promise<void> | void;
}

/** Result of a route lookup. */
export type RouteMatch =
  | {
    readonly type: "found";
    readonly route: Route;
    readonly parts: Readonly<Record<string, string>>;
  }
  | { readonly type: "wrongMethod"; readonly methods: readonly string[] }
  | { readonly type: "none" };

/** Finds the first route that matches a path and a method. */
export function findRoute(
  routes: readonly Route[],
  request: { readonly method: string; readonly path: string },
): RouteMatch {
  const methods: string[] = [];
  for (const route of routes) {
    const parts = matchPath(route.pattern, request.path);
    if (parts === undefined) continue;
    if (route.method === "*" || route.method === request.method) {
      return { type: "found", route, parts };
    }
    methods.push(route.method);
  }
  return methods.length > 0
    ? { type: "wrongMethod", methods }
    : { type: "none" };
}

function matchPath(
  pattern: string,
  path: string,
): Record<string, string> | undefined {
  const patternParts = pattern.split("/");
  const pathParts = path.split("/");
  const parts: Record<string, string> = {};
  for (const [index, patternPart] of patternParts.entries()) {
    if (patternPart.startsWith("*")) {
      parts[patternPart.slice(1)] = pathParts.slice(index).join("/");
      return parts;
    }
    const pathPart = pathParts[index];
    if (pathPart === undefined) return undefined;
    if (patternPart.startsWith(":")) {
      const decoded = decode(pathPart);
      if (decoded === undefined || decoded === "") return undefined;
      parts[patternPart.slice(1)] = decoded;
    } else if (patternPart !== pathPart) return undefined;
  }
  return patternParts.length === pathParts.length ? parts : undefined;
}

function decode(pathPart: string): string | undefined {
  try {
    return decodeURIComponent(pathPart);
  } catch {
    return undefined;
  }
}
