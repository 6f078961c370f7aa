/**
 * The daemon process: creates one instance with its listeners from the
 * settings, and shuts it down gracefully.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { EtcdStore } from "../adapters/etcd_store.ts";
import { FailoverStore } from "../adapters/failover_store.ts";
import { HttpList } from "../adapters/http_list.ts";
import { CachedList } from "../adapters/cached_list.ts";
import { HttpUpstream } from "../adapters/http_upstream.ts";
import { TracedUpstream } from "../adapters/traced_upstream.ts";
import { sleep, systemClock } from "../clock.ts";
import type { Settings } from "../config.ts";
import { type Admission, admit } from "../filters/admit.ts";
import { atMostOnce } from "../filters/at_most_once.ts";
import { authenticate } from "../filters/authenticate.ts";
import { chain, type Exchange, type Next } from "../filters/chain.ts";
import { check } from "../filters/check.ts";
import { BodyMemory } from "../http/bodies.ts";
import { callerRoutes } from "../http/caller_routes.ts";
import { operatorRoutes } from "../http/operator_routes.ts";
import { HttpServer } from "../http/server.ts";
import { workRoutes } from "../http/work_routes.ts";
import { type Log, openLog } from "../logger.ts";
import { TcpPeers } from "../peers/tcp_peers.ts";
import { startTracing } from "../tracing.ts";
import type { Outcome } from "../types.ts";
import { Instance } from "./instance.ts";

/** Characters of the random suffix that makes an instance ID unique to one start of the process. */
const ID_SUFFIX_CHARS = 8;
/** Time for the load balancer to notice that the instance is no longer ready, milliseconds. */
const READINESS_DELAY_MS = 1_000;
/** Interval of the checks for requests in flight during shutdown, milliseconds. */
const DRAIN_POLL_INTERVAL_MS = 50;

/** A running daemon. */
export class Daemon {
  readonly #settings: Settings;
  readonly #log: Log;
  readonly #instance: Instance;
  readonly #peers: TcpPeers;
  readonly #stores: readonly EtcdStore[];
  readonly #upstream: TracedUpstream;
  readonly #server: HttpServer;
  readonly #stopTracing: () => Promise<void>;

  constructor(settings: Settings) {
    const { instance, platform, operator } = settings;
    const clock = systemClock;
    const suffix = randomUUID().slice(0, ID_SUFFIX_CHARS);
    const self = {
      id: `${instance.name}-${suffix}`,
      peerAddress: instance.peerAddress,
      callerAddress: instance.callerAddress,
      zone: instance.zone,
    };
    const log = openLog(settings.log.level, { instance: self.id });
    this.#settings = settings;
    this.#log = log;
    this.#stopTracing = startTracing({ ...settings.trace, instance: self.id });
    const { storeTimeoutMs: timeoutMs } = settings.timing;
    this.#stores = platform.store.map((address) =>
      new EtcdStore({ address, clock, timeoutMs })
    );
    this.#upstream = new TracedUpstream(new HttpUpstream({ clock }));
    this.#peers = new TcpPeers({
      self,
      listen: instance.peerListen,
      key: settings.peers.key,
      clock,
      log,
    });
    this.#instance = new Instance({
      self,
      store: new FailoverStore(this.#stores),
      list: new CachedList(
        new HttpList({ address: platform.list, clock }),
        clock,
      ),
      peers: this.#peers,
      upstream: this.#upstream,
      clock,
      log,
      random: Math.random,
      leaseMs: settings.timing.leaseMs,
    });
    this.#server = new HttpServer({
      listen: instance.listen,
      routes: this.#routes(operator.key),
      clock,
      log,
    });
  }

  /** Opens the listeners and joins the cluster. */
  async start(): Promise<void> {
    await this.#peers.start();
    await this.#server.listen();
    await this.#instance.start();
    const { instance } = this.#settings;
    this.#log.info("started", {
      callers: instance.listen,
      peers: instance.peerListen,
    });
  }

  /** Shuts down gracefully: rejects new requests, completes those in flight, and transfers the owned units. */
  async stop(): Promise<void> {
    this.#log.info("stopping");
    this.#instance.beginStop();
    this.#server.drain();
    await sleep(systemClock, READINESS_DELAY_MS);
    await this.#server.close();
    await this.#instance.leave();
    await this.#waitForRequests();
    this.#instance.stop();
    this.#peers.close();
    await this.#upstream.close();
    await Promise.all(this.#stores.map((store) => store.close()));
    await this.#stopTracing();
    this.#log.info("stopped");
  }

  /** Waits until no request, for example of another instance, is in flight to a worker; at most `shutdownMs`. */
  async #waitForRequests(): Promise<void> {
    const { workers } = this.#instance;
    const deadlineMs = systemClock.monotonic() +
      this.#settings.timing.shutdownMs;
    while (workers.inFlight > 0 && systemClock.monotonic() < deadlineMs) {
      await sleep(systemClock, DRAIN_POLL_INTERVAL_MS);
    }
  }

  #routes(operatorKey: string) {
    const instance = this.#instance;
    const log = this.#log;
    const bodies = new BodyMemory({ clock: systemClock });
    const admission: Admission = {
      stopping: () => false,
      configured: () => instance.configured(),
      inContact: () => instance.authority.hasValidLease(),
    };
    const current = () => instance.settings.set();
    const couldEverFit = instance.couldEverFit.bind(instance);
    return [
      ...callerRoutes({
        handle: this.#chain(admission),
        abandon: (id) => instance.requests.cancel(id),
        isConfigured: (name) => instance.settings.workload(name) !== undefined,
        bodies,
        clock: systemClock,
        metrics: instance.metrics,
        log,
      }),
      ...workRoutes({
        admission,
        current,
        couldEverFit,
        deferred: instance.deferred,
        desk: instance.workService,
        bodies,
        log,
      }),
      ...operatorRoutes({ instance, key: operatorKey }),
    ];
  }

  #chain(admission: Admission): Next {
    const instance = this.#instance;
    const couldEverFit = instance.couldEverFit.bind(instance);
    return chain([
      admit(admission),
      authenticate(() => instance.settings.set()),
      check({ couldEverFit }),
      atMostOnce(instance.keyGuard),
    ], (exchange) => runRequest(instance, exchange));
  }
}

function runRequest(instance: Instance, exchange: Exchange): Promise<Outcome> {
  if (exchange.abandoned()) {
    return Promise.resolve({ type: "notRun", reason: { type: "cancelled" } });
  }
  const { id, arrivedAtMs, method, path, headers, body } = exchange;
  const service = exchange.service!;
  const queue = exchange.queue!;
  return instance.requests.run({
    id,
    idempotent: service.idempotent,
    waiting: {
      id,
      team: exchange.team!,
      queue: queue.name,
      workload: service.name,
      urgency: queue.urgency,
      need: service.resources,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + queue.maxWaitMs,
    },
    request: {
      method,
      path: joinPaths(service.path, path),
      headers,
      body,
      timeoutMs: service.timeoutMs,
    },
  });
}

function joinPaths(prefix: string, path: string): string {
  return prefix.replace(/\/$/, "") + path;
}
