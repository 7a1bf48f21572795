/**
 * Service registry with an ordered lifecycle. Services are looked up by name. They start in the
 * order of registration and stop in reverse order, so that a service can rely on the services
 * registered before it for as long as it runs.
 */
import {KernelError} from './kernel-error.js';

export type KernelService = {
	start?(): Promise<void> | void;
	stop?(): Promise<void> | void;
};

export type Kernel<Services extends Record<string, any>> = {
	/** Registers a service. Throws a `KernelError` (`duplicate-service`) if the name is in use. */
	provide<Name extends keyof Services & string>(name: Name, service: Services[Name]): void;
	/** Returns a service. Throws a `KernelError` (`unknown-service`) if none has this name. */
	find<Name extends keyof Services & string>(name: Name): Services[Name];
	/**
	 * Starts all services. If one fails, stops those that were started and rejects with a
	 * `KernelError`: `start-failed`, or `stop-failed` if one of them does not stop.
	 */
	start(): Promise<void>;
	/**
	 * Stops all started services, even if some fail to stop, and then rejects with the first failure,
	 * a `KernelError` (`stop-failed`).
	 */
	stop(): Promise<void>;
};

export function createKernel<Services extends Record<string, any>>(): Kernel<Services> {
	const services = new Map<string, unknown>();
	const started: string[] = [];

	async function stop(): Promise<void> {
		const failures: unknown[] = [];
		for (const name of started.splice(0).reverse()) {
			try {
				// Services stop one at a time, because later ones may depend on earlier ones.
				await (services.get(name) as KernelService).stop?.();
			} catch (error) {
				failures.push(
					new KernelError('stop-failed', `service "${name}" did not stop`, {cause: error}),
				);
			}
		}

		if (failures.length > 0) {
			throw failures[0];
		}
	}

	return {
		provide(name, service) {
			if (services.has(name)) {
				throw new KernelError('duplicate-service', `service "${name}" is already registered`);
			}

			services.set(name, service);
		},
		find<Name extends keyof Services & string>(name: Name) {
			if (!services.has(name)) {
				throw new KernelError(
					'unknown-service',
					`service "${name}" is not registered; provide it before services that use it`,
				);
			}

			return services.get(name) as Services[Name];
		},
		async start() {
			for (const [name, service] of services) {
				try {
					await (service as KernelService).start?.();
				} catch (error) {
					await stop();
					throw new KernelError('start-failed', `service "${name}" did not start`, {cause: error});
				}

				started.push(name);
			}
		},
		stop,
	};
}
