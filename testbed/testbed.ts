/**
 * Deployment for tests on this machine: stand-ins of the platform and several
 * instances, each a separate process, with methods to cause faults.
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
  freePorts,
  type StartedProcess,
  startScript,
  terminate,
  waitForListening,
} from "./processes.ts";

/** Options of a testbed. */
export interface TestbedOptions {
  readonly instances: number;
  readonly workers: number;
  readonly zones: readonly string[];
  /** Additional arguments of the worker stand-ins. */
  readonly workerArguments?: readonly string[];
  /** Age of the platform's list as instances read it, milliseconds. */
  readonly listLagMs?: number;
  readonly logLevel?: "debug" | "info" | "warn" | "error";
  /** OTLP endpoint that spans are sent to; without it, tracing is off. */
  readonly traceEndpoint?: string;
  /** Text of the operator set. */
  readonly set: string;
}

/** Instance of the testbed. */
export interface TestInstance {
  readonly name: string;
  /** Address for callers, `host:port`. */
  readonly callers: string;
  /** Address for peers, `host:port`. */
  readonly peers: string;
  /** Path of the settings file. */
  readonly settings: string;
  process: StartedProcess;
}

/** Operator key of every testbed. */
export const OPERATOR_KEY = "testbed-operator-key-0123456789";
const PEER_KEY = "testbed-peer-key-0123456789abcdef";
const READY_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 100;

/** Deployment of stand-ins and instances. */
export class Testbed {
  readonly instances: TestInstance[] = [];
  readonly directory = mkdtempSync(join(tmpdir(), "zinniapoint-"));
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

  /** Starts all processes and waits until every instance is ready. If that fails, stops them and rejects. */
  static async start(options: TestbedOptions): Promise<Testbed> {
    const testbed = new Testbed(options);
    try {
      await testbed.#startStandins();
      await testbed.publish(options.set);
      await testbed.#startInstances();
      return testbed;
    } catch (error) {
      await testbed.stop();
      throw error;
    }
  }

  /** Publishes an operator set. Rejects with a {@linkcode TestbedFailure} if it is invalid or the publication fails. */
  async publish(text: string): Promise<void> {
    const checked = parseOperatorSet(text, { file: "set.ini" });
    if (checked.isErr()) throw new TestbedFailure(checked.error[0]!.message);
    const store = new EtcdStore({
      address: this.storeAddress,
      clock: systemClock,
    });
    const published = await publish(store, {
      base: await this.#readHeadNumber(store),
      text,
      operator: "testbed",
      publishId: randomUUID(),
      clock: systemClock,
      random: Math.random,
    });
    await store.close();
    if (published.isErr()) throw new TestbedFailure(published.error.message);
  }

  /**
   * Waits until every instance is ready, apart from those ended by a signal. Rejects
   * with a {@linkcode TestbedFailure} if one exits or the timeout passes.
   */
  async waitUntilReady(): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MS;
    for (const node of this.instances) {
      while (!await isReady(node)) {
        if (Date.now() > deadline) {
          const last = node.process.log.slice(-8).join("\n");
          throw new TestbedFailure(`${node.name} is not ready:\n${last}`);
        }
        await pause(POLL_INTERVAL_MS);
      }
    }
  }

  /** Kills an instance, as in a crash, and waits for its exit. */
  async kill(node: TestInstance): Promise<void> {
    await terminate(node.process, "SIGKILL");
  }

  /** Starts a new process for an instance that has exited. */
  restart(node: TestInstance): void {
    node.process = startScript("src/daemon/main.js", [node.settings]);
  }

  /** Sends a control request to a stand-in. */
  async control(address: string, path: string, body: unknown): Promise<Reply> {
    return await call(address, {
      method: "POST",
      path,
      body: JSON.stringify(body),
      headers: { "content-type": "application/json" },
    });
  }

  /** Reads the records of the worker stand-ins. */
  async workerRecords(): Promise<unknown> {
    const reply = await call(this.workersControl, { path: "/record" });
    return JSON.parse(reply.body);
  }

  /** Reads a path of an instance with the operator key. */
  async getAsOperator(node: TestInstance, path: string): Promise<unknown> {
    const reply = await call(node.callers, {
      path,
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    });
    return JSON.parse(reply.body);
  }

  /** Kills every process and removes the temporary directory. */
  async stop(): Promise<void> {
    for (const { process } of this.instances) process.child.kill("SIGCONT");
    const all = [
      ...this.instances.map((node) => node.process),
      ...this.#standins,
    ];
    await Promise.all(all.map((each) => terminate(each, "SIGKILL")));
    rmSync(this.directory, { recursive: true, force: true });
  }

  async #startStandins(): Promise<void> {
    const { workers, zones, listLagMs, workerArguments } = this.#options;
    const store = await this.#startStandin("standins/store/main.js", []);
    this.storeAddress = store.address ?? "";
    this.storeControl = store.control ?? store.address ?? "";
    const list = await this.#startStandin("standins/list/main.js", [
      "--lag-ms",
      String(listLagMs ?? 0),
    ]);
    this.listAddress = list.address ?? "";
    this.listControl = list.control ?? list.address ?? "";
    const fleet = await this.#startStandin("standins/worker/main.js", [
      "--count",
      String(workers),
      "--zones",
      zones.join(","),
      ...(workerArguments ?? []),
    ]);
    this.workersControl = fleet.address ?? fleet.control ?? "";
  }

  async #startStandin(script: string, args: readonly string[]) {
    const started = startScript(script, args);
    this.#standins.push(started);
    return await waitForListening(started);
  }

  async #startInstances(): Promise<void> {
    const { instances, zones } = this.#options;
    const ports = await freePorts(instances * 2);
    for (let index = 0; index < instances; index++) {
      const callers = `${LOOPBACK}:${ports[index * 2]}`;
      const peers = `${LOOPBACK}:${ports[index * 2 + 1]}`;
      const name = `instance-${index + 1}`;
      const zone = zones[index % zones.length]!;
      const settings = this.#writeSettings({ name, zone, callers, peers });
      const process = startScript("src/daemon/main.js", [settings]);
      this.instances.push({ name, callers, peers, settings, process });
    }
    await this.#fillList();
    await this.waitUntilReady();
  }

  async #fillList(): Promise<void> {
    const reply = await call(this.workersControl, { path: "/workers" });
    const { workers } = JSON.parse(reply.body) as { workers: unknown[] };
    const instances = this.instances.map(({ peers }) => ({
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
    const path = join(this.directory, `${node.name}.ini`);
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

  async #readHeadNumber(store: EtcdStore) {
    const head = await readHead(store);
    return head.match(
      (reading) => reading.head?.number ?? 0,
      ({ message }) => {
        throw new TestbedFailure(message);
      },
    );
  }
}

/** Failure of the testbed itself, not of the code under test. */
export class TestbedFailure extends Error {
  readonly type = "testbedFailure";
}

/** Waits in real time. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function isReady(node: TestInstance): Promise<boolean> {
  const { exitCode, signalCode } = node.process.child;
  if (signalCode !== null) return true;
  if (exitCode !== null) {
    const last = node.process.log.slice(-8).join("\n");
    throw new TestbedFailure(`${node.name} exited unexpectedly:\n${last}`);
  }
  try {
    const reply = await call(node.callers, { path: "/readyz" });
    return reply.status === 200;
  } catch {
    return false;
  }
}
