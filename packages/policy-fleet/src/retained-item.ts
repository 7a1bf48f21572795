/**
 * Items that an older copy of the platform's store may lack although they hold. Instances that know
 * them pass them on, so that an instance that starts on the older copy does not fall behind.
 */

export type RetainedItem = {
	readonly key: string;
	/** The last known value. */
	readonly value: string;
	/** Whether the item is in force or was removed, whatever an older copy of the store says. */
	readonly state: 'in-force' | 'removed';
	/**
	 * Milliseconds after which the item no longer holds unless the store lists it; undefined if it
	 * holds until something newer replaces it.
	 */
	readonly expiresIn?: number | undefined;
};

/** What is known of the instance that asks for retained items. */
export type RetainedItemsReader = {
	/** Version of its configuration; 0 if it has none. */
	readonly version: number;
	/**
	 * Whether it has read the store in a newer era than this instance, so that it does not get what
	 * the store listed before.
	 */
	readonly isOfNewerEra: boolean;
};
