/**
 * Base class of all errors of this project. Each layer derives its own class and wraps the errors
 * of the layer below, which it keeps as `cause`.
 */
export class ShallotpondError extends Error {
	/** Stable machine-readable code in kebab case. */
	readonly code: string;

	constructor(code: string, message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
		this.code = code;
	}
}
