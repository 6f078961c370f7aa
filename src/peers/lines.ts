/**
 * Messages between instances are lines of JSON over TCP.
 *
 * @module
 */
import type { Socket } from "node:net";
import process from "node:process";

/** Longest line that a link takes, characters. */
export const LINE_LIMIT_CHARS = 24 * 1024 * 1024;

/** Longest line before the other end has proved itself, characters. */
export const GREETING_LIMIT_CHARS = 4 * 1024;

/** What becomes of the lines of a socket. */
export interface LineReader {
  readonly onLine: (line: string) => void;
  /** Longest line that is taken now; a longer one ends the socket. */
  readonly limitChars: () => number;
}

/** Reads a socket by lines. */
export function readLines(
  socket: Socket,
  { onLine, limitChars }: LineReader,
): void {
  let pieces: string[] = [];
  let length = 0;
  socket.setEncoding("utf8");
  socket.on("data", (data) => {
    const parts = String(data).split("\n");
    for (const [index, part] of parts.entries()) {
      pieces.push(part);
      length += part.length;
      if (length > limitChars()) {
        socket.destroy();
        return;
      }
      if (index === parts.length - 1) break;
      const line = pieces.join("");
      pieces = [];
      length = 0;
      onLine(line);
      if (socket.destroyed) return;
    }
  });
}

/** Writes a message as a line; lines of one turn of the event loop share a call of the system. */
export function writeLine(socket: Socket, message: unknown): void {
  if (socket.writableCorked === 0) {
    socket.cork();
    process.nextTick(() => socket.uncork());
  }
  socket.write(JSON.stringify(message) + "\n");
}

/** Parses a line; `undefined` if it is no JSON object. */
export function parseLine(line: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(line);
    const isObject = typeof value === "object" && value !== null;
    return isObject ? value as Record<string, unknown> : undefined;
  } catch {
    return undefined;
  }
}
