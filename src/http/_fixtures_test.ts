/**
 * A listener with test routes, and callers that speak to it byte by byte.
 *
 * @module
 */
import type { ExecutionContext } from "ava";
import { connect, type Socket } from "node:net";
import { LOOPBACK } from "../../testbed/loopback.ts";
import { eventually } from "../adapters/_eventually_test.ts";
import { type Clock, systemClock } from "../clock.ts";
import type { Exchange, Next } from "../filters/chain.ts";
import { Metrics } from "../metrics.ts";
import { EventLog, freePort } from "../peers/_fixtures_test.ts";
import type { Outcome } from "../types.ts";
import { BodyMemory } from "./bodies.ts";
import { callerRoutes } from "./caller_routes.ts";
import type { Route } from "./routes.ts";
import { HttpServer } from "./server.ts";

/** A running listener. */
export interface Listener {
  readonly address: string;
  readonly server: HttpServer;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly bodies: BodyMemory;
  /** Requests that reached the end of the chain. */
  readonly exchanges: Exchange[];
  /** Ids of the requests whose callers went away. */
  readonly abandoned: string[];
}

/** An answer with an empty body. */
export const done: Outcome = {
  type: "done",
  answer: { status: 200, headers: {}, body: "", worker: "worker-1" },
};

/** Starts a listener for callers' requests. */
export async function openListener(
  t: ExecutionContext,
  options: {
    readonly handle?: Next;
    readonly routes?: readonly Route[];
    readonly clock?: Clock;
  } = {},
): Promise<Listener> {
  const address = `${LOOPBACK}:${await freePort()}`;
  const clock = options.clock ?? systemClock;
  const log = new EventLog();
  const metrics = new Metrics();
  const bodies = new BodyMemory();
  const exchanges: Exchange[] = [];
  const abandoned: string[] = [];
  const routes = callerRoutes({
    handle: (exchange) => {
      exchanges.push(exchange);
      return options.handle?.(exchange) ?? Promise.resolve(done);
    },
    abandon: (id) => abandoned.push(id),
    knows: (workload) => workload === "w",
    bodies,
    clock,
    metrics,
    log,
  });
  const server = new HttpServer({
    listen: address,
    routes: [...routes, ...options.routes ?? []],
    clock,
    log,
  });
  await server.listening();
  t.teardown(() => void server.close());
  return { address, server, log, metrics, bodies, exchanges, abandoned };
}

/** A caller on a connection of its own. */
export interface RawCaller {
  readonly socket: Socket;
  /** All that came back so far. */
  readonly text: () => string;
  readonly closed: () => boolean;
  /** Code of the error that ended the connection. */
  readonly error: () => string | undefined;
}

/** Connects and sends bytes. */
export function callRaw(
  t: ExecutionContext,
  address: string,
  bytes: string,
): RawCaller {
  const port = Number(address.split(":")[1]);
  const socket = connect({ host: LOOPBACK, port });
  let text = "";
  let closed = false;
  let error: string | undefined;
  socket.setEncoding("latin1");
  socket.on("data", (data) => text += String(data));
  socket.on("error", (failure: NodeJS.ErrnoException) => error = failure.code);
  socket.on("close", () => closed = true);
  if (bytes !== "") socket.write(bytes);
  t.teardown(() => socket.destroy());
  return { socket, text: () => text, closed: () => closed, error: () => error };
}

/** Sends bytes and gives all that comes back until the listener closes. */
export async function answerTo(
  t: ExecutionContext,
  address: string,
  bytes: string,
): Promise<string> {
  const caller = callRaw(t, address, bytes);
  await eventually(caller.closed);
  return caller.text();
}

/** Head of a request after which the connection ends. */
export function head(line: string, ...headers: readonly string[]): string {
  const all = [line + " HTTP/1.1", "host: x", "connection: close", ...headers];
  return all.join("\r\n") + "\r\n\r\n";
}
