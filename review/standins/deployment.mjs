/**
 * A small deployment: instances of the product as separate processes, started
 * with the command of the deploy file, and stand-ins for the platform in this
 * process. Every address is a loopback address.
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
/** The command of the role in deploy/system.toml. */
const COMMAND = [
  "--max-old-space-size=200",
  "target/zinniapointd.mjs",
  "--metrics-port",
  "9464",
];
/** Ports of a machine: front, ready, control, the free range, metrics. */
const PORTS = [8183, 8184, 8180, 7420, 7435, 9464];
const READY_TIMEOUT_MS = 15_000;
const CLIENT_BUDGET_MS = 3_000;
const CLIENT_RETRIES = 4;
/** A case that takes longer couldn't run. */
const CASE_TIMEOUT_MS = 110_000;

export const SERVICE = "copier-svc";
export const HOST = "shop.example";
export const KEY = "key-of-the-shop";

/** Why a case couldn't run. */
export class CannotRun extends Error {}

/** A configuration with the queues given, each `{ name, prefix, ... }`. */
export function configuration(version, queues) {
  return {
    version,
    routes: queues.map((queue) => ({
      host: HOST,
      service: SERVICE,
      priority: 1,
      attempts: 4,
      stretch: 4,
      "slo-ms": 3_000,
      ...queue,
    })),
    services: [{ name: SERVICE, "enforces-capacity": false }],
    tenants: [{
      name: "shop",
      "api-keys": [KEY],
      weight: 100,
      cap: { cpu: 0, "mem-mb": 0, gpu: 0 },
    }],
    limits: { "max-body-bytes": 262_144 },
  };
}

export class Deployment {
  store = new Store();
  workers = [];
  instances = [];
  /** All runs on all workers. */
  record = [];
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #recordFile;
  #startedMs = Date.now();
  #network;

  /** Writes what happens to the file `recordFile`. */
  constructor(recordFile) {
    this.#recordFile = recordFile;
    writeFileSync(recordFile, "");
    process.on("exit", () => this.#killAll());
  }

  /** Appends a line to the record. */
  note(text) {
    const atMs = Date.now() - this.#startedMs;
    appendFileSync(this.#recordFile, `${(atMs / 1000).toFixed(3)} s ${text}\n`);
  }

  /** Seconds since the start, for a time in Unix milliseconds. */
  at(unixMs) {
    return unixMs === undefined
      ? "-"
      : `${((unixMs - this.#startedMs) / 1000).toFixed(3)} s`;
  }

  /** Starts the store with a configuration, the workers and the instances. */
  async start({ instances, workers, config }) {
    await this.store.listen();
    this.store.put("op/config", config);
    for (const options of workers) await this.addWorker(options);
    this.#network = await freeNetwork(instances);
    for (let i = 1; i <= instances; i++) this.#addInstance(i);
    await this.waitUntilReady();
    this.note(`${instances} instances are ready`);
  }

  async addWorker({ id, capacity, labels }) {
    const worker = new Worker({
      id,
      capacity,
      labels,
      store: this.store,
      record: this.record,
      service: SERVICE,
      zone: "a",
    });
    await worker.start();
    this.workers.push(worker);
    return worker;
  }

  /** Starts a new process for an instance. */
  restart(instance) {
    const child = spawn(process.execPath, COMMAND, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        ZINNIAPOINT_NODE_FILE: instance.settings,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    instance.child = child;
    for (const output of [child.stdout, child.stderr]) {
      output.setEncoding("utf8").on("data", (text) => instance.log.push(text));
    }
  }

  /** Waits until all instances are ready. */
  async waitUntilReady() {
    const deadline = Date.now() + READY_TIMEOUT_MS;
    for (const { ip } of this.instances) {
      for (;;) {
        const { status } = await call({ ip, port: 8184, path: "/api/ready" });
        if (status === 200) break;
        if (Date.now() > deadline) {
          const log = this.instances.flatMap((one) => one.log).join("");
          throw new CannotRun(`${ip} did not become ready\n${log}`);
        }
        await sleep(50);
      }
    }
  }

  /** The instance that the leader record names. */
  leader() {
    const name = this.store.read("cell/0/holder")?.name;
    return this.instances.find((instance) => instance.name === name);
  }

  /** One call of a client, which leaves after `patienceMs`; status 0 if there was no answer. */
  async call(instance, method, path, body, patienceMs = CLIENT_BUDGET_MS) {
    const answer = await call({
      ip: instance.ip,
      port: 8183,
      method,
      path,
      body,
      timeoutMs: patienceMs,
      headers: {
        host: HOST,
        "x-api-key": KEY,
        "zinniapoint-deadline-ms": String(CLIENT_BUDGET_MS),
      },
    });
    const shown = answer.status === 0 ? "no answer" : answer.status;
    this.note(
      `${method} ${path} at ${instance.name}: ${shown} ${answer.text}`.trim(),
    );
    return answer;
  }

  /** Submits as a client does: again at the next instance after no answer, 502 or 504, later after a rejection. Returns whether it was accepted. */
  async submit(path, body, first = 0) {
    for (let attempt = 0; attempt <= CLIENT_RETRIES; attempt++) {
      const instance =
        this.instances[(first + attempt) % this.instances.length];
      const { status } = await this.call(instance, "POST", path, body);
      if (status >= 200 && status < 300) return true;
      await sleep(300);
    }
    return false;
  }

  /** Lists the runs in the record and ends all processes. */
  close() {
    for (const run of this.record) {
      const { task, worker, startedMs, endedMs, how, acknowledgedMs } = run;
      this.note(
        `run ${task} ${run.run} on ${worker}: ${this.at(startedMs)} to ` +
          `${this.at(endedMs)} ${how ?? "runs"}, acknowledged ` +
          this.at(acknowledgedMs),
      );
    }
    this.#killAll();
    for (const worker of this.workers) worker.crash();
    this.store.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #addInstance(number) {
    const ip = `${this.#network}.${number}`;
    const name = `edge-a-${number}`;
    const settings = join(this.#folder, `${name}.yaml`);
    writeFileSync(settings, settingsText({ name, ip, store: this.store }));
    const instance = { name, ip, settings, log: [], child: undefined };
    this.instances.push(instance);
    this.restart(instance);
  }

  #killAll() {
    for (const { child } of this.instances) child?.kill("SIGKILL");
  }
}

/** Runs a case: exits with 1 if `play` returns broken rules, with 0 if it returns none, with 2 if it fails. */
export async function runCase(recordFile, play) {
  const deployment = new Deployment(recordFile);
  const trouble = process.env.TROUBLE !== "0";
  const giveUp = (reason) => {
    deployment.note(`could not run: ${reason}`);
    process.exit(2);
  };
  setTimeout(() => giveUp("out of time"), CASE_TIMEOUT_MS).unref();
  process.on("SIGTERM", () => giveUp("terminated"));
  process.on("SIGINT", () => giveUp("interrupted"));
  let status = 2;
  try {
    deployment.note(trouble ? "with the disruption" : "without the disruption");
    const broken = await play(deployment, trouble);
    for (const text of broken.slice(0, 20)) deployment.note(`broken: ${text}`);
    deployment.note(`${broken.length} times broken`);
    status = broken.length > 0 ? 1 : 0;
  } catch (error) {
    deployment.note(`could not run: ${error.stack ?? error}`);
  }
  deployment.close();
  process.exit(status);
}

/** Tasks of which two runs overlapped on live workers, or of which a run started after the end of one that was done and acknowledged. */
export function startedTwice(deployment) {
  const byTask = Map.groupBy?.(deployment.record, (run) => run.task) ??
    groupByTask(deployment.record);
  const broken = [];
  for (const [task, runs] of byTask) {
    for (const [index, first] of runs.entries()) {
      for (const second of runs.slice(index + 1)) {
        const overlaps = second.startedMs < (first.endedMs ?? Infinity);
        const isDone = first.how === "done" &&
          first.acknowledgedMs !== undefined;
        if (!overlaps && !isDone) continue;
        broken.push(
          `TWICE: ${task} run ${second.run} on ${second.worker} started at ` +
            `${deployment.at(second.startedMs)}; run ${first.run} on ` +
            `${first.worker} ended at ${deployment.at(first.endedMs)} ` +
            `${first.how ?? "(runs)"}, acknowledged at ` +
            deployment.at(first.acknowledgedMs),
        );
      }
    }
  }
  return broken;
}

function groupByTask(record) {
  const groups = new Map();
  for (const run of record) {
    groups.set(run.task, [...groups.get(run.task) ?? [], run]);
  }
  return groups;
}

const agents = new Map();

/** Sends an HTTP request; status 0 if no answer comes. */
function call(
  { ip, port, method = "GET", path, body, headers = {}, timeoutMs = 1_000 },
) {
  const agent = agents.get(ip) ?? new Agent({ keepAlive: true });
  agents.set(ip, agent);
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const failed = () => resolve({ status: 0, text: "" });
    const outgoing = request({
      host: ip,
      port,
      method,
      path,
      agent,
      headers: {
        ...headers,
        ...(text === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        }),
      },
    }, (response) => {
      let answer = "";
      response.setEncoding("utf8").on("data", (chunk) => answer += chunk);
      response.on("error", failed);
      response.on("end", () => {
        clearTimeout(timer);
        resolve({ status: response.statusCode, text: answer });
      });
    });
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    outgoing.on("error", () => {
      clearTimeout(timer);
      failed();
    });
    outgoing.end(text);
  });
}

/** Finds the first three numbers of loopback addresses of which `count` have all ports free. */
async function freeNetwork(count) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    const network = `127.${part()}.${part()}`;
    const addresses = Array.from(
      { length: count },
      (_, i) => `${network}.${i + 1}`,
    ).flatMap((ip) => PORTS.map((port) => ({ ip, port })));
    const free = await Promise.all(addresses.map(isFree));
    if (free.every((one) => one)) return network;
  }
  throw new CannotRun("no free loopback addresses");
}

function isFree({ ip, port }) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

function settingsText({ name, ip, store }) {
  return `node-name: "${name}"
role: "entry"
machine-class: "edge"
serves: ["edge", "control_plane"]
ip: "${ip}"
zone: "a"
region: "north"
zones: { a: "north" }
listen: { front: "${ip}:8183", ready: "${ip}:8184", control: "${ip}:8180" }
port-range: [7420, 7435]
seeds: []
bootstrap: true
in-tolerance: false
limits: { cpu-share: 0.675, cores: 1, memory-mb: 350, max-fds: 4200, link-mbps: 1000.0, disk-mb: 0 }
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform"]
tolerate: { machines: 2, zones: 0, regions: 0 }
bounds: { contact-ms: 3000, ack-ms: 4000, drain-ms: 2000, grace-s: 6, config-ms: 2000, hold-max-ms: 6000, stop-ms: 200, gang-ms: 3000, cancel_ms: 3000, visible_ms: 3000, finish_s: 14, status_s: 120, far-x: 2, save-s: 2, restore-ms: 600 }
orders: "call"
platform: { addr: "${store.address}", form: "kv", writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, ttl-min-ms: 1000 }
`;
}
