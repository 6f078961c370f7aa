/**
 * Main script of the worker stand-ins.
 *
 * @module
 */
import { Command, Option } from "commander";
import {
  closeOnSignal,
  parseInteger,
  printListeningLine,
} from "../common/process.ts";
import { type FleetOptions, StandinFleet } from "./fleet.ts";
import { SHAPES } from "./service_time.ts";

interface Arguments
  extends Omit<FleetOptions, "zones" | "capacity" | "requestResources"> {
  readonly zones: string;
  readonly cpuMillis: number;
  readonly memoryMib: number;
  readonly accelerators: number;
  readonly slots: number;
  readonly requestCpuMillis: number;
  readonly requestMemoryMib: number;
}

const command = new Command("worker")
  .description("stand-in of the platform's workers")
  .option("--port <n>", "port of the controls", parseInteger, 0)
  .option("--count <n>", "number of workers", parseInteger, 1)
  .option("--port-base <n>", "port of the first worker", parseInteger, 0)
  .option("--prefix <text>", "prefix of ids", "worker-")
  .option("--zones <names>", "zones, separated by commas", "zone-1")
  .option("--rack-size <n>", "workers per rack", parseInteger, 8)
  .option(
    "--cpu-millis <n>",
    "processors per worker, in thousandths",
    parseInteger,
    64_000,
  )
  .option("--memory-mib <n>", "memory per worker", parseInteger, 262_144)
  .option("--accelerators <n>", "accelerators per worker", parseInteger, 0)
  .option("--slots <n>", "slots per worker", parseInteger, 8)
  .option("--connections <n>", "connections per worker", parseInteger, 60)
  .option("--request-cpu-millis <n>", "used by a request", parseInteger, 0)
  .option("--request-memory-mib <n>", "used by a request", parseInteger, 0)
  .option("--latency-ms <n>", "one-way latency", Number, 0)
  .option(
    "--report-lag-ms <n>",
    "interval between snapshots of reports",
    parseInteger,
    0,
  )
  .option("--service-ms <n>", "mean duration of requests and tasks", Number, 20)
  .option("--seed <n>", "seed of the durations", parseInteger, 1)
  .addOption(
    new Option("--shape <shape>", "distribution of the durations")
      .choices(SHAPES)
      .default("fixed"),
  )
  .parse();

const options = command.opts<Arguments>();
const fleet = new StandinFleet({
  ...options,
  zones: options.zones.split(","),
  capacity: {
    cpuMillis: options.cpuMillis,
    memoryMib: options.memoryMib,
    accelerators: options.accelerators,
    slots: options.slots,
  },
  requestResources: {
    cpuMillis: options.requestCpuMillis,
    memoryMib: options.requestMemoryMib,
    accelerators: 0,
    slots: 1,
  },
});
await fleet.listen();
closeOnSignal(fleet);
printListeningLine({
  address: fleet.address,
  workers: String(fleet.workers.length),
});
