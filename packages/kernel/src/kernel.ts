/**
 * The micro-kernel: a registry in which services find each other by name, with ordered start and
 * stop. Services start in the order of registration and stop in reverse order, so that a service
 * can rely on those registered before it during its whole life.
 */
import {KernelError} from './kernel-error.js';

export type Service = {
	start?(): Promise<void> | void;
	stop?(): Promise<void> | void;
};

export type Kernel<Services extends Record<string, any>> = {
	/** Registers a service. Throws a `KernelError` when the name is taken. */
	provide<Name extends keyof Services & string>(name: Name, service: Services[Name]): void;
	/** Finds a service by name. Throws a `KernelError` when it is not registered. */
	find<Name extends keyof Services & string>(name: Name): Services[Name];
	/** Starts all services. When one fails, those already started are stopped again. */
	start(): Promise<void>;
	/** Stops all started services; the first failure is thrown after all have been stopped. */
	stop(): Promise<void>;
};

export function createKernel<Services extends Record<string, any>>(): Kernel<Services> {
	const services = new Map<string, unknown>();
	const started: string[] = [];

	async function stop(): Promise<void> {
		const failures: unknown[] = [];
		for (const name of started.splice(0).reverse()) {
			try {
				// Later services may depend on earlier ones, so they stop one after the other.
				await (services.get(name) as Service).stop?.();
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
					await (service as Service).start?.();
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
