/**
 * Derives from the machine of a process how much of it callers may use.
 */
import {defaultHttpLimits, type HttpLimits} from '@shallotpond/io-http/http-limits';

export type Machine = {
	/** Memory that the process may use, bytes; undefined if unknown. */
	readonly memory: number | undefined;
	/** Maximum open file descriptors of the process; undefined if unknown. */
	readonly descriptors: number | undefined;
	/** Maximum size of the JavaScript heap, bytes. */
	readonly heap: number;
};

export type MachineLimits = Pick<
	HttpLimits,
	'maxHeldBytes' | 'maxTotalHeldResponseBytes' | 'maxCallerConnections'
>;

/** Fraction of the memory that callers may hold; half is needed by an idle process. */
const memoryFraction = 0.2;
/**
 * Fraction of the heap that callers may hold. An idle process uses 20 MB of it, and what has been
 * released stays there until the garbage is collected.
 */
const heapFraction = 0.2;
/** Fraction of the memory for responses of targets that are held back. */
const heldResponseFraction = 0.2;
/** Fraction of the descriptors for callers; the others are for targets, the store and the fleet. */
const descriptorFraction = 0.7;

function capped(limit: number, resource: number | undefined, fraction: number): number {
	return resource === undefined ? limit : Math.min(limit, Math.floor(resource * fraction));
}

export function limitsOfMachine({memory, descriptors, heap}: Machine): MachineLimits {
	const {maxHeldBytes, maxTotalHeldResponseBytes, maxCallerConnections} = defaultHttpLimits;
	return {
		maxHeldBytes: capped(capped(maxHeldBytes, memory, memoryFraction), heap, heapFraction),
		maxTotalHeldResponseBytes: capped(maxTotalHeldResponseBytes, memory, heldResponseFraction),
		maxCallerConnections: capped(maxCallerConnections, descriptors, descriptorFraction),
	};
}
