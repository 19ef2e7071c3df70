/**
 * Ownership and clean-up of resources: a {@link Lifecycle} owns the resources that a process opens,
 * and closes them in reverse order when it is stopped.
 */

/** A resource that its owner closes exactly once. */
export interface Owned {
  /** Name for logs and state dumps. */
  readonly name: string;
  /** Releases the resource; must not throw if the resource is already closed. */
  close(): void | Promise<void>;
}

/** Owns resources, background tasks and child lifecycles. */
export class Lifecycle {
  readonly name: string;
  readonly #abort = new AbortController();
  readonly #owned: Owned[] = [];
  #stopping: Promise<void> | undefined;

  private constructor(name: string) {
    this.name = name;
  }

  /**
   * @param name Name for logs and state dumps.
   * @returns A running lifecycle that owns nothing yet.
   */
  static create(name: string): Lifecycle {
    return new Lifecycle(name);
  }

  /** Signal that is aborted when {@link stop} is called. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** True once {@link stop} was called. */
  get stopping(): boolean {
    return this.#stopping !== undefined;
  }

  /**
   * Takes ownership of a resource.
   *
   * @param resource The resource to close on stop.
   * @returns The same resource.
   */
  own<T extends Owned>(resource: T): T {
    this.#owned.push(resource);
    return resource;
  }

  /**
   * Creates a child lifecycle.
   *
   * @param name Name of the child.
   * @returns A lifecycle that is stopped together with this one.
   */
  child(name: string): Lifecycle {
    const child = Lifecycle.create(`${this.name}/${name}`);
    this.own({ name: child.name, close: () => child.stop() });
    return child;
  }

  /**
   * Runs a background task; {@link stop} aborts its signal and waits for it to return.
   *
   * @param name Name for logs.
   * @param body The task; must return soon after the signal is aborted.
   */
  task(name: string, body: (signal: AbortSignal) => Promise<void>): void {
    const done = body(this.signal).catch((error: unknown) => {
      if (!this.signal.aborted) throw error;
    });
    this.own({ name, close: () => done });
  }

  /**
   * Closes all owned resources, last opened first. Safe to call more than once.
   *
   * @returns Resolves when all resources are closed.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#close();
    return this.#stopping;
  }

  async #close(): Promise<void> {
    this.#abort.abort();
    const failures: unknown[] = [];
    for (let next = this.#owned.pop(); next; next = this.#owned.pop()) {
      try {
        await next.close();
      } catch (error) {
        failures.push(error);
      }
    }
    if (failures.length > 0) {
      throw new AggregateError(
        failures,
        `Failed to close all resources of ${this.name}`,
      );
    }
  }
}
