/** Logging as JSON lines. Prompts, answers and keys are never logged. */
import {
  destination,
  type DestinationStream,
  type Logger as PinoLogger,
  pino,
} from "pino";

/** A logger of JSON lines. */
export type Logger = PinoLogger;

/** Log levels by rising severity; `silent` turns logging off. */
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
 * Maximum size of one write of buffered lines: PIPE_BUF of Linux. On a pipe shared by several
 * processes, larger writes are not atomic, and lines of other processes may end up inside them.
 */
const MAX_WRITE_BYTES = 4096;

/**
 * Lines are buffered until they reach this size, or for {@link FLUSH_MS}, because each write is
 * dispatched to a thread of the thread pool.
 */
const MIN_BATCH_BYTES = 2048;
const FLUSH_MS = 100;

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Minimum severity of lines that are written. */
  level: LogLevel;
  /** Role of the process, such as `entry` or `agent`; part of each line. */
  role: string;
  /** Id of the process; part of each line. */
  processId: string;
  /**
   * Writes to standard output, buffered and asynchronous; otherwise to standard error, line by
   * line.
   */
  toStdout?: boolean;
}

/**
 * @param options Level, common fields and destination.
 * @returns A logger.
 */
export function createLogger(options: LoggerOptions): Logger {
  return pino(
    {
      level: options.level,
      base: { role: options.role, processId: options.processId },
    },
    options.toStdout ? bufferedStdout() : destination({ dest: 2, sync: true }),
  );
}

/**
 * Buffers lines for standard output, so that lines logged shortly after each other share a write.
 */
function bufferedStdout(): DestinationStream {
  const output = destination({
    dest: 1,
    sync: false,
    maxWrite: MAX_WRITE_BYTES,
    minLength: MIN_BATCH_BYTES,
  });
  let isFlushScheduled = false;
  const flush = () => {
    isFlushScheduled = false;
    output.flush();
  };
  return {
    write(line) {
      output.write(line);
      if (isFlushScheduled) return;
      isFlushScheduled = true;
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
