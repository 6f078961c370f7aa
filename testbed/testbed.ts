/**
 * A small deployment on this machine: stand-ins of the platform and several
 * daemons, each a process of its own, with the faults that a test can cause.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { EtcdStore } from "../src/adapters/etcd_store.ts";
import { systemClock } from "../src/clock.ts";
import { publish } from "../src/configuration/publication.ts";
import { parseOperatorSet } from "../src/operator_set/parse.ts";
import { readHead } from "../src/configuration/read.ts";
import { call, type Reply } from "./http.ts";
import { LOOPBACK } from "./loopback.ts";
import {
  announced,
  ended,
  freePorts,
  type StartedProcess,
  startScript,
} from "./processes.ts";

/** What a testbed is made of. */
export interface TestbedOptions {
  readonly instances: number;
  readonly workers: number;
  readonly zones: readonly string[];
  /** Further arguments of the workers' stand-in. */
  readonly workerArguments?: readonly string[];
  readonly listLagMs?: number;
  readonly logLevel?: "debug" | "info" | "warn" | "error";
  /** URL that spans are sent to; none are sent without it. */
  readonly traceEndpoint?: string;
  /** Text of the operators' set. */
  readonly set: string;
}

/** One daemon of the testbed. */
export interface Node {
  readonly name: string;
  readonly callers: string;
  readonly peers: string;
  readonly settings: string;
  process: StartedProcess;
}

/** Secret of the operators in every testbed. */
export const OPERATOR_KEY = "testbed-operator-key-0123456789";
const PEER_KEY = "testbed-peer-key-0123456789abcdef";
const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 100;

/** The processes of one deployment. */
export class Testbed {
  readonly nodes: Node[] = [];
  readonly folder = mkdtempSync(join(tmpdir(), "zinniapoint-"));
  readonly #options: TestbedOptions;
  readonly #standins: StartedProcess[] = [];
  storeAddress = "";
  storeControl = "";
  listAddress = "";
  listControl = "";
  workersControl = "";

  private constructor(options: TestbedOptions) {
    this.#options = options;
  }

  /** Starts everything and waits until every daemon is ready. */
  static async start(options: TestbedOptions): Promise<Testbed> {
    const testbed = new Testbed(options);
    try {
      await testbed.#startStandins();
      await testbed.publish(options.set);
      await testbed.#startNodes();
      return testbed;
    } catch (error) {
      await testbed.stop();
      throw error;
    }
  }

  /** Publishes a set. */
  async publish(text: string): Promise<void> {
    const checked = parseOperatorSet(text, { file: "set.ini" });
    if (checked.isErr()) throw new TestbedFailure(checked.error[0]!.message);
    const store = new EtcdStore({
      address: this.storeAddress,
      clock: systemClock,
    });
    const published = await publish(store, {
      base: await this.#base(store),
      text,
      operator: "testbed",
      publishId: randomUUID(),
      clock: systemClock,
      random: Math.random,
    });
    await store.close();
    if (published.isErr()) throw new TestbedFailure(published.error.message);
  }

  /** Waits until every living daemon is ready. */
  async ready(): Promise<void> {
    const until = Date.now() + READY_TIMEOUT_MS;
    for (const node of this.nodes) {
      while (!await isReady(node)) {
        if (Date.now() > until) {
          const last = node.process.log.slice(-8).join("\n");
          throw new TestbedFailure(`${node.name} is not ready:\n${last}`);
        }
        await pause(POLL_MS);
      }
    }
  }

  /** Kills a daemon as a crash does. */
  async kill(node: Node): Promise<void> {
    await ended(node.process, "SIGKILL");
  }

  /** Starts a daemon anew. */
  restart(node: Node): void {
    node.process = startScript("src/daemon/main.js", [node.settings]);
  }

  /** Asks a stand-in to change. */
  async control(address: string, path: string, body: unknown): Promise<Reply> {
    return await call(address, {
      method: "POST",
      path,
      body: JSON.stringify(body),
      headers: { "content-type": "application/json" },
    });
  }

  /** What the workers' stand-ins recorded. */
  async workerRecords(): Promise<unknown> {
    const reply = await call(this.workersControl, { path: "/record" });
    return JSON.parse(reply.body);
  }

  /** Asks an instance as an operator does. */
  async operate(node: Node, path: string): Promise<unknown> {
    const reply = await call(node.callers, {
      path,
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    });
    return JSON.parse(reply.body);
  }

  /** Ends every process. */
  async stop(): Promise<void> {
    for (const { process } of this.nodes) process.child.kill("SIGCONT");
    const all = [...this.nodes.map((node) => node.process), ...this.#standins];
    await Promise.all(all.map((each) => ended(each, "SIGKILL")));
    rmSync(this.folder, { recursive: true, force: true });
  }

  async #startStandins(): Promise<void> {
    const { workers, zones, listLagMs, workerArguments } = this.#options;
    const store = await this.#standin("standins/store/main.js", []);
    this.storeAddress = store.address ?? "";
    this.storeControl = store.control ?? store.address ?? "";
    const list = await this.#standin("standins/list/main.js", [
      "--lag-ms",
      String(listLagMs ?? 0),
    ]);
    this.listAddress = list.address ?? "";
    this.listControl = list.control ?? list.address ?? "";
    const fleet = await this.#standin("standins/worker/main.js", [
      "--count",
      String(workers),
      "--zones",
      zones.join(","),
      ...(workerArguments ?? []),
    ]);
    this.workersControl = fleet.address ?? fleet.control ?? "";
  }

  async #standin(script: string, args: readonly string[]) {
    const started = startScript(script, args);
    this.#standins.push(started);
    return await announced(started);
  }

  async #startNodes(): Promise<void> {
    const { instances, zones } = this.#options;
    const ports = await freePorts(instances * 2);
    for (let index = 0; index < instances; index++) {
      const callers = `${LOOPBACK}:${ports[index * 2]}`;
      const peers = `${LOOPBACK}:${ports[index * 2 + 1]}`;
      const name = `instance-${index + 1}`;
      const zone = zones[index % zones.length]!;
      const settings = this.#writeSettings({ name, zone, callers, peers });
      const process = startScript("src/daemon/main.js", [settings]);
      this.nodes.push({ name, callers, peers, settings, process });
    }
    await this.#fillList();
    await this.ready();
  }

  async #fillList(): Promise<void> {
    const reply = await call(this.workersControl, { path: "/workers" });
    const { workers } = JSON.parse(reply.body) as { workers: unknown[] };
    const instances = this.nodes.map(({ peers }) => ({
      peerAddress: peers,
      state: "live",
    }));
    await this.control(this.listControl, "/control", { workers, instances });
  }

  #writeSettings(
    node: {
      readonly name: string;
      readonly zone: string;
      readonly callers: string;
      readonly peers: string;
    },
  ): string {
    const path = join(this.folder, `${node.name}.ini`);
    const level = this.#options.logLevel ?? "info";
    const endpoint = this.#options.traceEndpoint;
    const trace = endpoint === undefined
      ? ""
      : `[trace]\nexporter = otlp\nendpoint = ${endpoint}\n`;
    writeFileSync(
      path,
      `[instance]
name = ${node.name}
zone = ${node.zone}
listen = ${node.callers}
advertise = ${node.callers}
peer_listen = ${node.peers}
peer_advertise = ${node.peers}

[platform]
store = ${this.storeAddress}
list = ${this.listAddress}

[peers]
key = ${PEER_KEY}

[operator]
key = ${OPERATOR_KEY}

[log]
level = ${level}

${trace}`,
    );
    return path;
  }

  async #base(store: EtcdStore) {
    const head = await readHead(store);
    return head.match(
      (reading) => reading.head?.number ?? 0,
      ({ message }) => {
        throw new TestbedFailure(message);
      },
    );
  }
}

/** The testbed itself went wrong. */
export class TestbedFailure extends Error {
  readonly type = "testbedFailure";
}

/** Waits in real time. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function isReady(node: Node): Promise<boolean> {
  const { exitCode, signalCode } = node.process.child;
  if (signalCode !== null) return true;
  if (exitCode !== null) {
    const last = node.process.log.slice(-8).join("\n");
    throw new TestbedFailure(`${node.name} ended by itself:\n${last}`);
  }
  try {
    const reply = await call(node.callers, { path: "/readyz" });
    return reply.status === 200;
  } catch {
    return false;
  }
}
