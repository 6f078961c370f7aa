/**
 * Starts the stand-ins and daemons of a testbed as processes of this machine.
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
  /** Lines that it has written to standard error, the last ones. */
  readonly log: string[];
}

const MAX_LOG_LINES = 100_000;
const READY_TIMEOUT_MS = 15_000;
/** Bounds of the ports of daemons, below those that the system hands out. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
/** Ports that one process claims at a time. */
const BLOCK_PORTS = 100;

/** Folder of the built files. */
const built = new URL("../", import.meta.url);

/** Starts a built script. */
export function startScript(
  script: string,
  args: readonly string[],
): StartedProcess {
  const file = fileURLToPath(new URL(script, built));
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

/** Waits for the line in which a stand-in says where it listens. */
export function announced(
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
      resolve(Object.fromEntries(pairsOf(line)));
    });
  });
}

/** Ends a process and waits for its exit. */
export function ended(
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

/** Ports that this process has handed out; their users may not listen yet. */
const handedOut = new Set<number>();
/** First ports of the blocks that this process has claimed. */
const blocks: number[] = [];

/** The call before, as two at once would be given the same ports. */
let before: Promise<unknown> = Promise.resolve();

/** Ports of this machine that are free now, and that no socket and no other testbed is given unasked. */
export function freePorts(count: number): Promise<number[]> {
  const ports = before.then(() => takePorts(count));
  before = ports;
  return ports;
}

async function takePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (;;) {
    const block = blocks.at(-1) ?? await claimBlock();
    for (let port = block + 1; port < block + BLOCK_PORTS; port++) {
      if (ports.length === count) return ports;
      if (handedOut.has(port) || !await isFree(port)) continue;
      handedOut.add(port);
      ports.push(port);
    }
    await claimBlock();
  }
}

/**
 * Claims ports for this process by listening on the first of them until it
 * ends: a daemon listens only a while after its ports were chosen, and another
 * testbed beside would find them free.
 */
async function claimBlock(): Promise<number> {
  for (;;) {
    const first = FIRST_PORT +
      BLOCK_PORTS * randomInt((LAST_PORT - FIRST_PORT) / BLOCK_PORTS);
    const guard = createServer().unref();
    if (!await listens(guard, first)) continue;
    blocks.push(first);
    return first;
  }
}

/** A process of the testbed did not start. */
export class StartFailure extends Error {
  readonly type = "startFailure";

  constructor(log: readonly string[]) {
    super(`a process did not start: ${log.slice(-5).join(" | ")}`);
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  if (!await listens(server, port)) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

function listens(server: Server, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, LOOPBACK, () => resolve(true));
  });
}

function pairsOf(line: string): [string, string][] {
  return line.trim().split(" ").slice(1).map((pair) => {
    const [name = "", value = ""] = pair.split("=");
    return [name, value];
  });
}
