/**
 * Test listener with caller routes, and clients that send raw bytes.
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

/** A running listener and what it has recorded. */
export interface Listener {
  readonly address: string;
  readonly server: HttpServer;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly bodies: BodyMemory;
  /** Requests passed to the handler. */
  readonly exchanges: Exchange[];
  /** Ids of the requests whose callers disconnected. */
  readonly abandoned: string[];
}

/** Successful outcome with an empty body. */
export const done: Outcome = {
  type: "done",
  answer: { status: 200, headers: {}, body: "", worker: "worker-1" },
};

/** Starts a listener with the routes for callers and further `routes`. */
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
  const bodies = new BodyMemory({ clock });
  const exchanges: Exchange[] = [];
  const abandoned: string[] = [];
  const routes = callerRoutes({
    handle: (exchange) => {
      exchanges.push(exchange);
      return options.handle?.(exchange) ?? Promise.resolve(done);
    },
    abandon: (id) => abandoned.push(id),
    isConfigured: (workload) => workload === "w",
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
  await server.listen();
  t.teardown(() => void server.close());
  return { address, server, log, metrics, bodies, exchanges, abandoned };
}

/** A client on its own connection. */
export interface RawClient {
  readonly socket: Socket;
  /** Text received so far. */
  readonly text: () => string;
  readonly closed: () => boolean;
  /** Code of the connection's error, if any. */
  readonly error: () => string | undefined;
}

/** Opens a connection and sends `bytes`. */
export function openRawClient(
  t: ExecutionContext,
  address: string,
  bytes: string,
): RawClient {
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

/** Sends `bytes` and returns the text received until the server closes the connection. */
export async function exchangeRaw(
  t: ExecutionContext,
  address: string,
  bytes: string,
): Promise<string> {
  const caller = openRawClient(t, address, bytes);
  await eventually(caller.closed);
  return caller.text();
}

/** Request line and headers of a request with `connection: close`. */
export function requestHead(
  line: string,
  ...headers: readonly string[]
): string {
  const all = [line + " HTTP/1.1", "host: x", "connection: close", ...headers];
  return all.join("\r\n") + "\r\n\r\n";
}
