package org.heathercourse.platform;

import java.util.List;
import java.util.Optional;

/**
 * The platform's object store. Objects are written once under a name and never changed.
 *
 * <p>Calls block. Implementations are safe for use by several threads.
 */
public interface ObjectStore {
    /**
     * Stores an object; storing the same content under the same name again has no effect.
     *
     * @param name name of the object
     * @param content the content
     * @throws StoreException if the service does not answer
     */
    void put(String name, byte[] content);

    /**
     * Reads an object.
     *
     * @param name name of the object
     * @return the content, or empty if there is no such object
     * @throws StoreException if the service does not answer
     */
    Optional<byte[]> get(String name);

    /**
     * Deletes an object; deleting one that does not exist is no error.
     *
     * @param name name of the object
     * @throws StoreException if the service does not answer
     */
    void delete(String name);

    /**
     * Lists the names of objects.
     *
     * @param prefix prefix of the names
     * @return the names in ascending order
     * @throws StoreException if the service does not answer
     */
    List<String> list(String prefix);
}
