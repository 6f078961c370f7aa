/**
 * A table of paths and what answers them.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";

/** A call of one route. */
export interface RouteCall {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Parts of the path that the pattern names, decoded. */
  readonly parts: Readonly<Record<string, string>>;
}

/** One route. */
export interface Route {
  /** `*` for any. */
  readonly method: string;
  /** As `/v1/work/:id`; a last part `*rest` takes the rest of the path. */
  readonly pattern: string;
  readonly answer: (call: RouteCall) => Promise<void> | void;
}

/** What a path leads to. */
export type RouteMatch =
  | {
    readonly type: "found";
    readonly route: Route;
    readonly parts: Readonly<Record<string, string>>;
  }
  | { readonly type: "wrongMethod"; readonly methods: readonly string[] }
  | { readonly type: "none" };

/** Finds the route of a path. */
export function findRoute(
  routes: readonly Route[],
  asked: { readonly method: string; readonly path: string },
): RouteMatch {
  const methods: string[] = [];
  for (const route of routes) {
    const parts = matchPath(route.pattern, asked.path);
    if (parts === undefined) continue;
    if (route.method === "*" || route.method === asked.method) {
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
  const wanted = pattern.split("/");
  const given = path.split("/");
  const parts: Record<string, string> = {};
  for (const [index, part] of wanted.entries()) {
    if (part.startsWith("*")) {
      parts[part.slice(1)] = given.slice(index).join("/");
      return parts;
    }
    const piece = given[index];
    if (piece === undefined) return undefined;
    if (part.startsWith(":")) {
      const decoded = decode(piece);
      if (decoded === undefined || decoded === "") return undefined;
      parts[part.slice(1)] = decoded;
    } else if (part !== piece) return undefined;
  }
  return wanted.length === given.length ? parts : undefined;
}

function decode(piece: string): string | undefined {
  try {
    return decodeURIComponent(piece);
  } catch {
    return undefined;
  }
}
