/**
 * The platform's list of instances and targets, each with the state `live` or `leaving`. The list
 * lags behind the actual state.
 */
import {z} from 'zod';
import {ConfigurationError} from './configuration-error.js';
import {formatFieldPath} from './parse-document.js';

const presence = z.enum(['live', 'leaving']);
const name = z.string().min(1).max(256);

/** Unknown fields are ignored, because the platform owns the format. */
const instanceListSchema = z.object({
	instances: z.array(z.object({address: name, failureDomain: name, state: presence})).max(10_000),
	targets: z.array(z.object({id: name, state: presence})).max(100_000),
});

/**
 * `instances[].address` is `<ip>:<peer port>`; `targets[].id` is the id in the configuration
 * document.
 */
export type InstanceList = z.output<typeof instanceListSchema>;
export type ListedState = z.output<typeof presence>;

/**
 * Validates a list. Throws a `ConfigurationError` (`invalid-document`) that names every problem.
 */
export function parseInstanceList(value: unknown): InstanceList {
	const result = instanceListSchema.safeParse(value);
	if (!result.success) {
		throw new ConfigurationError(
			'invalid-document',
			result.error.issues.map(issue => `${formatFieldPath(issue.path)}: ${issue.message}`),
		);
	}

	return result.data;
}
