import com.fasterxml.jackson.databind.node.ArrayNode;

final class ArrayNodes {
    private ArrayNodes() {}

    static void addAll(ArrayNode array, String... texts) {
        for (String text : texts) {
            array.add(text);
        }
    }
}
