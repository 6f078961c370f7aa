/**
 * Fleet of workers in one process with a shared control endpoint.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  Endpoint,
  readJson,
  requestPath,
  sendJson,
} from "../common/endpoint.ts";
import { Control } from "./faults.ts";
import { createServiceTimeSampler, type Shape } from "./service_time.ts";
import type { Resources } from "./usage.ts";
import { StandinWorker } from "./worker.ts";

/** Options of a fleet. */
export interface FleetOptions {
  /** Port of the control endpoint. */
  readonly port?: number;
  readonly count: number;
  /** Port of the first worker; later ones count up. 0 for any free ports. */
  readonly portBase?: number;
  /** Prefix of worker ids. */
  readonly prefix?: string;
  /** Zones of the racks, assigned in turn. */
  readonly zones: readonly string[];
  /** Number of workers per rack. */
  readonly rackSize: number;
  readonly capacity: Resources;
  readonly connections: number;
  /** Resources that each request uses. */
  readonly requestResources: Resources;
  /** One-way network latency, milliseconds. */
  readonly latencyMs: number;
  /** Interval between the snapshots that reports are made from, milliseconds. */
  readonly reportLagMs: number;
  /** Mean duration of requests and tasks that do not state their own, milliseconds. */
  readonly serviceMs: number;
  readonly shape: Shape;
  readonly seed: number;
}

/** Workers that run in this process. */
export class StandinFleet {
  readonly workers: readonly StandinWorker[];
  readonly #endpoint: Endpoint;

  constructor(options: FleetOptions) {
    this.workers = Array.from(
      { length: options.count },
      (_, index) => createWorker(options, index),
    );
    this.#endpoint = new Endpoint(this.#serve.bind(this), {
      port: options.port,
    });
  }

  /** Address of the control endpoint as `host:port`. */
  get address(): string {
    return this.#endpoint.address;
  }

  /** Starts all workers, then the control endpoint. */
  async listen(): Promise<void> {
    await Promise.all(this.workers.map((worker) => worker.listen()));
    await this.#endpoint.listen();
  }

  /** Closes all workers, then the control endpoint. */
  async close(): Promise<void> {
    await Promise.all(this.workers.map((worker) => worker.close()));
    await this.#endpoint.close();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const [, noun, id] = requestPath(request).split("/");
    const selected = this.workers.filter(
      (worker) => id === undefined || worker.id === id,
    );
    if (selected.length === 0) return sendJson(response, 404, {});
    if (request.method === "POST") {
      return await applyControl(selected, request, response);
    }
    const content = noun === "workers"
      ? { workers: selected.map((worker) => worker.describe()) }
      : { workers: selected.map((worker) => worker.report()) };
    sendJson(response, 200, content);
  }
}

async function applyControl(
  workers: readonly StandinWorker[],
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const control = Control.decode(await readJson(request));
  if (control._tag === "Left") return sendJson(response, 400, {});
  const { right } = control;
  await Promise.all(workers.map((worker) => worker.control(right)));
  sendJson(response, 200, {});
}

function createWorker(options: FleetOptions, index: number): StandinWorker {
  const rack = Math.floor(index / options.rackSize);
  const { portBase = 0, prefix = "worker-", serviceMs: meanMs } = options;
  return new StandinWorker({
    id: `${prefix}${index + 1}`,
    port: portBase === 0 ? 0 : portBase + index,
    rack: `${prefix}rack-${rack + 1}`,
    zone: options.zones[rack % options.zones.length] ?? "zone-1",
    capacity: options.capacity,
    connections: options.connections,
    requestResources: options.requestResources,
    latencyMs: options.latencyMs,
    reportLagMs: options.reportLagMs,
    sampleMs: createServiceTimeSampler(options.shape, {
      meanMs,
      seed: options.seed + index,
    }),
  });
}
