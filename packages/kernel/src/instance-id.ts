/**
 * Identity of a running daemon process. A process that replaces another one at the same address has
 * a new incarnation and is therefore a different member of the fleet.
 */

/** `<ip>:<peer port>#<incarnation>`, for example `10.0.0.7:7400#9f3a61c2b0d4`. */
export type InstanceId = string;

export function createInstanceId(address: string, incarnation: string): InstanceId {
	return `${address}#${incarnation}`;
}

/** Returns the `<ip>:<peer port>` part of an instance id. */
export function addressOf(instance: InstanceId): string {
	const separator = instance.lastIndexOf('#');
	return separator === -1 ? instance : instance.slice(0, separator);
}
