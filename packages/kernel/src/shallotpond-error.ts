/**
 * Base class of all errors of the product. Each layer derives its own class and converts the
 * errors of the layer below, which it keeps as `cause`.
 */
export class ShallotpondError extends Error {
	/** A stable code in kebab case, for programs. */
	readonly code: string;

	constructor(code: string, message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
		this.code = code;
	}
}
