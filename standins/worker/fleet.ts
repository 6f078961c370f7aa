/**
 * Many workers in one process, with one control endpoint for all.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Endpoint, pathOf, readJson, sendJson } from "../common/endpoint.ts";
import { Control } from "./faults.ts";
import { serviceTimes, type Shape } from "./service_time.ts";
import type { Resources } from "./usage.ts";
import { StandinWorker } from "./worker.ts";

/** Settings of a fleet. */
export interface FleetOptions {
  /** Port of the control endpoint. */
  readonly port?: number;
  readonly count: number;
  /** Port of the first worker; 0 for any free ports. */
  readonly portBase?: number;
  /** Beginning of the workers' names. */
  readonly prefix?: string;
  readonly zones: readonly string[];
  readonly rackSize: number;
  readonly capacity: Resources;
  readonly connections: number;
  readonly requestResources: Resources;
  readonly latencyMs: number;
  readonly reportLagMs: number;
  readonly serviceMs: number;
  readonly shape: Shape;
  readonly seed: number;
}

/** The workers of this process. */
export class StandinFleet {
  readonly workers: readonly StandinWorker[];
  readonly #endpoint: Endpoint;

  constructor(options: FleetOptions) {
    this.workers = Array.from(
      { length: options.count },
      (_, index) => workerOf(options, index),
    );
    this.#endpoint = new Endpoint(this.#serve.bind(this), {
      port: options.port,
    });
  }

  /** `host:port` of the control endpoint. */
  get address(): string {
    return this.#endpoint.address;
  }

  /** Starts to accept connections. */
  async listen(): Promise<void> {
    await Promise.all(this.workers.map((worker) => worker.listen()));
    await this.#endpoint.listen();
  }

  /** Stops for good. */
  async close(): Promise<void> {
    await Promise.all(this.workers.map((worker) => worker.close()));
    await this.#endpoint.close();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const [, noun, id] = pathOf(request).split("/");
    const chosen = this.workers.filter(
      (worker) => id === undefined || worker.id === id,
    );
    if (chosen.length === 0) return sendJson(response, 404, {});
    if (request.method === "POST") {
      return await controlAll(chosen, request, response);
    }
    const reading = noun === "workers"
      ? { workers: chosen.map((worker) => worker.describe()) }
      : { workers: chosen.map((worker) => worker.report()) };
    sendJson(response, 200, reading);
  }
}

async function controlAll(
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

function workerOf(options: FleetOptions, index: number): StandinWorker {
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
    sampleMs: serviceTimes(options.shape, {
      meanMs,
      seed: options.seed + index,
    }),
  });
}
