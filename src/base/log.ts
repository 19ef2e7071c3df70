/** Logs: JSON lines. Prompts, answers and keys are never logged. */
import {
  destination,
  type DestinationStream,
  type Logger as PinoLogger,
  pino,
} from "pino";

/** A logger of JSON lines. */
export type Logger = PinoLogger;

/** Severity from which lines are written. */
export const LOG_LEVELS = [
  "trace",
  "debug",
  "info",
  "warn",
  "error",
  "silent",
] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/**
 * Lines that wait are written together up to this size, PIPE_BUF of Linux: a pipe that several
 * processes write to keeps longer writes in pieces, with other processes' lines between them.
 */
const WHOLE_BYTES = 4096;

/** Lines wait for more up to this size, or this long: each write costs a turn of a thread. */
const GATHERED_BYTES = 2048;
const FLUSH_MS = 100;

/** What a logger is made from. */
export interface LoggerOptions {
  /** Lowest severity that is written. */
  level: LogLevel;
  /** Bound to each line: `entry`, `agent` and so on. */
  role: string;
  /** Bound to each line: the process's id. */
  processId: string;
  /** Standard output, written without waiting; else standard error, line by line. */
  toStdout?: boolean;
}

/**
 * @param options Level, bound fields and destination.
 * @returns A logger.
 */
export function createLogger(options: LoggerOptions): Logger {
  return pino(
    {
      level: options.level,
      base: { role: options.role, processId: options.processId },
    },
    options.toStdout ? gatheredOutput() : destination({ dest: 2, sync: true }),
  );
}

/** Standard output; lines that come within a moment are written together. */
function gatheredOutput(): DestinationStream {
  const output = destination({
    dest: 1,
    sync: false,
    maxWrite: WHOLE_BYTES,
    minLength: GATHERED_BYTES,
  });
  let isFlushDue = false;
  const flush = () => {
    isFlushDue = false;
    output.flush();
  };
  return {
    write(line) {
      output.write(line);
      if (isFlushDue) return;
      isFlushDue = true;
      setTimeout(flush, FLUSH_MS).unref();
    },
  };
}

/**
 * @returns A logger that writes nothing, for tests and tools.
 */
export function createSilentLogger(): Logger {
  return pino({ level: "silent" });
}
