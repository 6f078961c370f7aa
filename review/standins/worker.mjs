/**
 * A stand-in for a worker (PROTOCOL.md, "Running tasks" and "Service
 * discovery"). It doesn't guard its capacity. The payload of a submission says
 * how long its tasks take: `work-ms=3000` or `work-ms=3000+500`, the latter with
 * up to 500 ms more that depend on the task.
 */
import { createServer } from "node:http";
import { readJson, sendJson } from "./store.mjs";

const HOLD_MAX_MS = 6_000;
const HEARTBEAT_MS = 1_500;
const MAX_WAIT_MS = 2_000;
/** Ends in one response; source: PROTOCOL.md, "(500 at a time)". */
const ENDS_AT_A_TIME = 500;
const LEASE_CHECK_MS = 20;

export class Worker {
  #store;
  #record;
  #server;
  #sockets = new Set();
  #port = 0;
  #running = new Map();
  #refusedUpTo = new Map();
  #ends = [];
  #lastEnd = 0;
  #fence = 0;
  #leaseUntilMs = 0;
  /** When the lease was last seen to have ended, Unix milliseconds. */
  #lapsedMs = 0;
  #waiting = new Set();
  #timers = [];
  #seq = 0;

  /** Adds its runs to `record`, in the order of their starts. */
  constructor({ id, store, record, service, zone, capacity, labels }) {
    Object.assign(this, { id, service, zone, capacity, labels });
    this.#store = store;
    this.#record = record;
  }

  get address() {
    return `127.0.0.1:${this.#port}`;
  }

  /** Ids of the tasks that run now. */
  get tasks() {
    return [...this.#running.keys()];
  }

  /** Starts a life of the worker, registers it and keeps its entry alive. */
  async start() {
    this.born = Math.max(Date.now(), (this.born ?? 0) + 1);
    this.#server = createServer((request, response) =>
      this.#handle(request, response).catch(() => response.destroy())
    );
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => {});
    });
    await new Promise((resolve) =>
      this.#server.listen(this.#port, "127.0.0.1", resolve)
    );
    this.#port = this.#server.address().port;
    this.#seq = 0;
    this.#register();
    this.#timers = [
      setInterval(() => this.#register(), HEARTBEAT_MS),
      setInterval(() => this.#endLapsed(), LEASE_CHECK_MS),
    ];
  }

  /** Ends the life: all runs and all knowledge are gone. */
  crash() {
    for (const timer of this.#timers) clearInterval(timer);
    for (const [task, { run, timer }] of this.#running) {
      clearTimeout(timer);
      this.#finish(task, run, "crashed");
    }
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
    for (const wake of [...this.#waiting]) wake();
    this.#running.clear();
    this.#refusedUpTo.clear();
    this.#ends = [];
    this.#lastEnd = 0;
    this.#fence = 0;
    this.#leaseUntilMs = 0;
  }

  /** Ends that have not been acknowledged. */
  get unacknowledged() {
    return this.#ends.length;
  }

  #register() {
    this.#seq++;
    this.#store.put(`servers/${this.id}`, {
      service: this.service,
      addr: this.address,
      zone: this.zone,
      version: "v1",
      slots: 8,
      state: "ready",
      "cold-left-ms": 0,
      capacity: this.capacity,
      labels: this.labels,
      "clock-ms": this.#clockMs(),
      born: this.born,
      seq: this.#seq,
    });
  }

  async #handle(request, response) {
    if (request.method === "GET") return sendJson(response, 200);
    const body = await readJson(request);
    const { born } = this;
    const expected = request.headers["zinniapoint-expect-instance"];
    const clock = () => ({ "clock-ms": this.#clockMs(), born });
    if (expected !== undefined && expected !== this.id) {
      return sendJson(response, 421, clock());
    }
    const fence = body.fence ?? 0;
    if (fence < this.#fence) {
      return sendJson(response, 409, { ...clock(), reason: "fence" });
    }
    this.#fence = fence;
    switch (request.url) {
      case "/api/run-start": {
        const reason = this.#start(body);
        return reason === undefined
          ? sendJson(response, 200, clock())
          : sendJson(response, 409, { ...clock(), reason });
      }
      case "/api/run-stop":
        this.#stop(body);
        return sendJson(response, 200, clock());
      case "/api/hold": {
        await this.#hold(body);
        if (this.born !== born) return response.destroy();
        return sendJson(response, 200, {
          ...clock(),
          running: [...this.#running].map(([task, run]) =>
            this.#row(task, run)
          ),
          ended: this.#ends.slice(0, ENDS_AT_A_TIME),
        });
      }
      default:
        return sendJson(response, 404);
    }
  }

  /** Starts a run; returns the reason if it is rejected. */
  #start(body) {
    const { task, run, spec } = body;
    const known = this.#running.get(task);
    if (known?.run === run) return undefined;
    if (known !== undefined) return "old";
    if (run <= (this.#refusedUpTo.get(task) ?? 0)) {
      this.#renew(body["until-ms"]);
      return "old";
    }
    if (body["until-ms"] <= this.#clockMs()) return "late";
    this.#renew(body["until-ms"]);
    const workMs = workMsOf(spec, task);
    const startedMs = Date.now();
    const timer = setTimeout(() => this.#end(task, "done"), workMs);
    this.#running.set(task, { run, startedMs, workMs, timer });
    this.#record.push({
      worker: this.id,
      life: this.born,
      task,
      run,
      spec,
      startedMs,
    });
    return undefined;
  }

  #stop({ task, run }) {
    const before = this.#refusedUpTo.get(task) ?? 0;
    this.#refusedUpTo.set(task, Math.max(before, run));
    if (this.#running.get(task)?.run === run) this.#end(task, "stopped");
  }

  async #hold(body) {
    this.#renew(body["until-ms"]);
    const upTo = body["acked-upto"] ?? 0;
    for (const [number, task, run] of this.#ends) {
      if (number > upTo) continue;
      const entry = this.#entry(task, run);
      // By the rules such an end does not count as taken note of.
      if (this.#lapsedMs > entry.endedMs) entry.lapsedBefore = true;
      else entry.acknowledgedMs ??= Date.now();
    }
    this.#ends = this.#ends.filter(([number]) => number > upTo);
    const waitMs = Math.min(MAX_WAIT_MS, body["wait-ms"] ?? 0);
    if (waitMs === 0 || this.#ends.length > 0) return;
    await new Promise((resolve) => {
      const waiting = this.#waiting;
      const timer = setTimeout(done, waitMs);
      waiting.add(done);
      function done() {
        clearTimeout(timer);
        waiting.delete(done);
        resolve();
      }
    });
  }

  #row(task, { run, startedMs, workMs }) {
    const percent = Math.floor(100 * (Date.now() - startedMs) / workMs);
    return [task, run, "", Math.min(99, percent), 0];
  }

  #renew(untilMs) {
    if (untilMs === undefined) return;
    const longest = this.#clockMs() + HOLD_MAX_MS;
    this.#leaseUntilMs = Math.max(
      this.#leaseUntilMs,
      Math.min(untilMs, longest),
    );
  }

  #endLapsed() {
    if (this.#clockMs() <= this.#leaseUntilMs) return;
    this.#lapsedMs = Date.now();
    for (const task of [...this.#running.keys()]) this.#end(task, "lapsed");
  }

  /** Ends a run and lists its end. */
  #end(task, how) {
    const { run, timer } = this.#running.get(task);
    clearTimeout(timer);
    this.#running.delete(task);
    this.#refusedUpTo.set(task, run);
    this.#lastEnd++;
    this.#ends.push([this.#lastEnd, task, run, how, ""]);
    this.#finish(task, run, how);
    for (const wake of [...this.#waiting]) wake();
  }

  #finish(task, run, how) {
    Object.assign(this.#entry(task, run), { endedMs: Date.now(), how });
  }

  #entry(task, run) {
    return this.#record.findLast((one) =>
      one.worker === this.id && one.life === this.born && one.task === task &&
      one.run === run
    );
  }

  #clockMs() {
    return Date.now() - this.born;
  }
}

function workMsOf(spec, task) {
  const [, base, spread] = /work-ms=(\d+)(?:\+(\d+))?/.exec(spec);
  if (spread === undefined) return Number(base);
  let hash = 0;
  for (const char of task) hash = (hash * 31 + char.charCodeAt(0)) % 65_521;
  return Number(base) + hash % Number(spread);
}
