/** Messages between the platform's processes: one record a kind, and one codec for all of them. */
package saltdale.control.message;
