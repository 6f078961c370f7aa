/**
 * Starts the stand-ins and daemons of a testbed as processes on this machine and
 * reserves ports for them.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { LOOPBACK } from "./loopback.ts";

/** A started process. */
export interface StartedProcess {
  readonly child: ChildProcess;
  /** The last lines that the process wrote to standard error. */
  readonly log: string[];
}

const MAX_LOG_LINES = 100_000;
const READY_TIMEOUT_MS = 15_000;
/** Range of the daemons' ports, below the ephemeral ports of the system. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
/** Number of ports that a process reserves at a time. */
const BLOCK_PORTS = 100;
/**
 * Address on which blocks are reserved. All processes use the same one, since
 * the same port on two addresses is two different sockets.
 */
const RESERVATION_ADDRESS = "127.0.0.1";

/** Directory of the compiled files. */
const BUILD_DIRECTORY = new URL("../", import.meta.url);

/** Starts a compiled script, given by its path in the directory of compiled files. */
export function startScript(
  script: string,
  args: readonly string[],
): StartedProcess {
  const file = fileURLToPath(new URL(script, BUILD_DIRECTORY));
  const child = spawn(process.execPath, [file, ...args], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  const log: string[] = [];
  child.stderr?.setEncoding("utf8").on("data", (text: string) => {
    log.push(...text.split("\n").filter((line) => line !== ""));
    if (log.length > MAX_LOG_LINES) log.splice(0, log.length - MAX_LOG_LINES);
  });
  return { child, log };
}

/**
 * Waits for the line `listening KEY=VALUE ...` of a stand-in and returns its pairs.
 * Rejects with a {@linkcode StartFailure} if the process exits or the timeout passes.
 */
export function waitForListening(
  { child, log }: StartedProcess,
): Promise<Record<string, string>> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new StartFailure(log)),
      READY_TIMEOUT_MS,
    );
    child.once("exit", () => reject(new StartFailure(log)));
    child.stdout?.setEncoding("utf8").on("data", (text: string) => {
      const line = text.split("\n").find((part) =>
        part.startsWith("listening ")
      );
      if (line === undefined) return;
      clearTimeout(timer);
      resolve(Object.fromEntries(parsePairs(line)));
    });
  });
}

/** Sends a signal to a process and waits for its exit; returns at once if it has exited. */
export function terminate(
  { child }: StartedProcess,
  signal: "SIGTERM" | "SIGKILL" = "SIGTERM",
): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    child.once("exit", () => resolve());
    child.kill(signal);
  });
}

/** Ports that `freePorts` has returned; the daemons that use them may not listen yet. */
const returnedPorts = new Set<number>();
/** First ports of the blocks that this process has reserved. */
const reservedBlocks: number[] = [];

/** Previous call of `freePorts`; calls run one after another, since concurrent ones would return the same ports. */
let previousCall: Promise<unknown> = Promise.resolve();

/**
 * Returns ports that are free now. They are below the system's ephemeral ports and
 * in blocks reserved for this process, so neither an outgoing connection nor
 * another testbed gets them.
 */
export function freePorts(count: number): Promise<number[]> {
  const ports = previousCall.then(() => choosePorts(count));
  previousCall = ports;
  return ports;
}

async function choosePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (;;) {
    const block = reservedBlocks.at(-1) ?? await reserveBlock();
    for (let port = block + 1; port < block + BLOCK_PORTS; port++) {
      if (ports.length === count) return ports;
      if (returnedPorts.has(port) || !await isFree(port)) continue;
      returnedPorts.add(port);
      ports.push(port);
    }
    await reserveBlock();
  }
}

/**
 * Reserves a block of ports for this process by listening on its first port until
 * the process exits. Without it, another testbed could choose the same ports in
 * the time between their selection and the moment the daemon listens on them.
 */
async function reserveBlock(): Promise<number> {
  for (;;) {
    const first = FIRST_PORT +
      BLOCK_PORTS * randomInt((LAST_PORT - FIRST_PORT) / BLOCK_PORTS);
    const guard = createServer().unref();
    if (!await tryListen(guard, first, RESERVATION_ADDRESS)) continue;
    reservedBlocks.push(first);
    return first;
  }
}

/** A process of the testbed exited or was not ready in time; the message has its last log lines. */
export class StartFailure extends Error {
  readonly type = "startFailure";

  constructor(log: readonly string[]) {
    super(`a process did not start: ${log.slice(-5).join(" | ")}`);
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  if (!await tryListen(server, port, LOOPBACK)) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

function tryListen(
  server: Server,
  port: number,
  address: string,
): Promise<boolean> {
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, address, () => resolve(true));
  });
}

function parsePairs(line: string): [string, string][] {
  return line.trim().split(" ").slice(1).map((pair) => {
    const [name = "", value = ""] = pair.split("=");
    return [name, value];
  });
}
