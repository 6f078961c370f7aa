/**
 * Messages between instances are lines of JSON over TCP.
 *
 * @module
 */
import type { Socket } from "node:net";

/** Longest line that a link takes, characters. */
export const LINE_LIMIT_CHARS = 24 * 1024 * 1024;

/** Calls `onLine` for each whole line that a socket receives. */
export function readLines(
  socket: Socket,
  onLine: (line: string) => void,
): void {
  let pieces: string[] = [];
  let length = 0;
  socket.setEncoding("utf8");
  socket.on("data", (data) => {
    const parts = String(data).split("\n");
    for (const [index, part] of parts.entries()) {
      pieces.push(part);
      length += part.length;
      if (length > LINE_LIMIT_CHARS) {
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
