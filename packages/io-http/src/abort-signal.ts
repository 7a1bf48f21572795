/**
 * A lightweight `AbortSignal`. Each request needs two of these, and Node's signals with their event
 * listeners and weak references cost more processor time than the decisions that they convey.
 */

/**
 * The part of `AbortSignal` that the request path uses, so that an `AbortSignal` can be passed as
 * well.
 */
export type AbortSignalLike = {
	readonly aborted: boolean;
	addEventListener(type: 'abort', listener: () => void): void;
	removeEventListener(type: 'abort', listener: () => void): void;
};

export type LightweightAbortController = {
	readonly signal: AbortSignalLike;
	/** Calls the listeners in the order of their registration, once. */
	abort(): void;
};

/**
 * Adding and removing a listener are linear in the listeners of one request, of which there are
 * few.
 */
export function createLightweightAbortController(): LightweightAbortController {
	const listeners: Array<() => void> = [];
	let aborted = false;
	return {
		signal: {
			get aborted() {
				return aborted;
			},
			addEventListener(_type, listener) {
				if (!aborted && !listeners.includes(listener)) {
					listeners.push(listener);
				}
			},
			removeEventListener(_type, listener) {
				const index = listeners.indexOf(listener);
				if (index !== -1) {
					listeners.splice(index, 1);
				}
			},
		},
		abort() {
			aborted = true;
			// A listener may remove others, which must then not be called.
			for (let listener = listeners.shift(); listener !== undefined; listener = listeners.shift()) {
				listener();
			}
		},
	};
}
